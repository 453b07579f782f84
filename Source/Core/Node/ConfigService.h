#pragma once

#include <memory>
#include <random>

#include <spdlog/spdlog.h>

#include "Common/Error.h"
#include "Config/AcceptedHistory.h"
#include "Http/Client.h"
#include "Kernel/Host.h"
#include "Node/Messages.h"
#include "Node/NodeSettings.h"
#include "Platform/LogClient.h"
#include "Wire/Codec.h"

namespace Node {

// Follows the log and hands each accepted set to the front, whole.
template <Kernel::MessageSink<FrontMessage> Front,
          Kernel::MessageSink<AdminMessage> Admin>
class ConfigService {
public:
  using Message = ConfigMessage;

  struct Sinks {
    Front ToFront;
    Admin ToAdmin;
  };

  ConfigService(Kernel::Context Around, const NodeSettings &Settings,
                Sinks Targets)
      : Home(Around.Home), Settings(Settings), Targets(std::move(Targets)),
        Random(std::random_device{}()) {}

  void start() {
    Transport = std::make_unique<Http::Client>(Home);
    Log = std::make_unique<Platform::LogClient>(*Transport, Settings.LogUrl);
    read();
  }

  // Nodes do not pass configuration on to one another yet.
  void handle(const Message &Content) { (void)Content; }

  void stop() {
    Log.reset();
    Transport.reset();
  }

private:
  void read() {
    Log->read(Settings.LogStream, History.lastOffset() + 1, Settings.LogWait,
              [this](Platform::ReadResult Result) { take(Result); });
  }

  void take(const Platform::ReadResult &Result) {
    if (Result.Code != Common::ResultCode::Ok) {
      spdlog::warn("log: {} {}", Common::resultCodeName(Result.Code),
                   Result.Detail);
      // Jitter keeps a herd of nodes from returning in step.
      std::uniform_int_distribution<int> Delay(100, 1000);
      Clock.after(Common::Millis(Delay(Random)), [this] { read(); });
      return;
    }
    for (const Platform::LogRecord &Each : Result.Records)
      judge(Each);
    read();
  }

  void judge(const Platform::LogRecord &Taken) {
    std::optional<Config::Verdict> Judged;
    try {
      Judged = History.apply(Taken.At, Wire::decodeRecord(Taken.Content));
    } catch (const Common::Error &Failure) {
      Judged = History.applyMalformed(Taken.At, Failure.what());
    }
    if (!Judged)
      return;
    Targets.ToAdmin.post(RecordJudged{*Judged});
    if (!Judged->isAccepted()) {
      spdlog::warn("record {}: {} {}", Judged->At,
                   Common::resultCodeName(Judged->Code), Judged->Detail);
      return;
    }
    spdlog::info("version {} by {} accepted", Judged->At, Judged->Author);
    Targets.ToFront.post(ConfigAccepted{History.current()});
  }

  Kernel::Task &Home;
  Kernel::Timers Clock{Home};
  NodeSettings Settings;
  Sinks Targets;
  std::mt19937_64 Random;
  Config::AcceptedHistory History;
  std::unique_ptr<Http::Client> Transport;
  std::unique_ptr<Platform::LogClient> Log;
};

} // namespace Node
