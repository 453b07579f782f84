#pragma once

#include <charconv>
#include <memory>
#include <string>

#include "Http/Server.h"
#include "Kernel/Task.h"
#include "StandIns/Log/LogStore.h"

namespace UnitTests {

// The platform's log on a free port, with records that expire on demand.
class FakeLog {
public:
  FakeLog() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Listener = Http::ServerBuilder(Worker)
                     .onRequest([this](Http::ExchangeId Id, const auto &Asked) {
                       take(Id, Asked);
                     })
                     .build();
    });
  }
  ~FakeLog() {
    Worker.runAndWait([this] { Listener.reset(); });
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Listener->port());
  }
  OwnLog::Offset append(const std::string &Stream, const std::string &Content) {
    OwnLog::Offset At = 0;
    Worker.runAndWait(
        [&] { At = Store.append(Stream, Content, Common::WallTime()); });
    return At;
  }
  OwnLog::Offset next(const std::string &Stream) {
    OwnLog::Offset At = 0;
    Worker.runAndWait([&] { At = Store.next(Stream); });
    return At;
  }
  void expireAll() {
    Worker.runAndWait(
        [this] { Store.expire(Common::WallTime() + std::chrono::hours(2)); });
  }
  // So many appends land and are answered as failed.
  void loseAnswers(int Count) {
    Worker.runAndWait([&] { Lost = Count; });
  }

private:
  void take(Http::ExchangeId Id, const Http::Request &Asked) {
    // "/v1/streams/NAME/records"
    const std::string Name = Asked.Path.substr(
        sizeof("/v1/streams/") - 1,
        Asked.Path.size() - sizeof("/v1/streams//records") + 1);
    if (Asked.Method == "POST") {
      const auto At = Store.append(Name, Asked.Body, Common::WallTime());
      if (Lost-- > 0)
        Listener->respond(Id, {500, {}, "lost"});
      else
        Listener->respond(Id, {200, {{"x-offset", std::to_string(At)}}, ""});
      return;
    }
    const std::size_t Begin = Asked.Target.find("from=") + 5;
    OwnLog::Offset From = 0;
    std::from_chars(Asked.Target.data() + Begin,
                    Asked.Target.data() + Asked.Target.size(), From);
    Http::Response Reply;
    Reply.Fields["x-first-offset"] = std::to_string(Store.first(Name));
    Reply.Fields["x-next-offset"] = std::to_string(Store.next(Name));
    Reply.Status = From < Store.first(Name) ? 410 : 200;
    if (Reply.Status == 200)
      Reply.Body = OwnLog::formatRecords(Store.read(Name, From, 1000));
    Listener->respond(Id, std::move(Reply));
  }

  Kernel::Task Worker{"log"};
  StandIns::LogStore Store{std::chrono::hours(1)};
  int Lost = 0;
  std::unique_ptr<Http::Server> Listener;
};

} // namespace UnitTests
