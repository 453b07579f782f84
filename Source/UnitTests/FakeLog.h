#pragma once

#include <charconv>
#include <memory>
#include <string>

#include "Http/Server.h"
#include "Kernel/Task.h"
#include "StandIns/Log/LogStore.h"

namespace UnitTests {

// A fake of the platform's log on a free port. Its records expire on request.
class FakeLog {
public:
  FakeLog() {
    Worker.spawn();
    Worker.runAndWait([this] {
      Listener =
          Http::ServerBuilder(Worker)
              .onRequest([this](Http::ExchangeId Id, const auto &Request) {
                handleRequest(Id, Request);
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
    OwnLog::Offset RecordOffset = 0;
    Worker.runAndWait([&] {
      RecordOffset = Store.append(Stream, Content, Common::WallTime());
    });
    return RecordOffset;
  }
  OwnLog::Offset next(const std::string &Stream) {
    OwnLog::Offset RecordOffset = 0;
    Worker.runAndWait([&] { RecordOffset = Store.next(Stream); });
    return RecordOffset;
  }
  void expireAll() {
    Worker.runAndWait(
        [this] { Store.expire(Common::WallTime() + std::chrono::hours(2)); });
  }
  // Answers the next Count appends with status 500 although it stores their
  // records.
  void loseAnswers(int Count) {
    Worker.runAndWait([&] { AnswersToLose = Count; });
  }

private:
  void handleRequest(Http::ExchangeId Id, const Http::Request &Request) {
    // "/v1/streams/NAME/records"
    const std::string Name = Request.Path.substr(
        sizeof("/v1/streams/") - 1,
        Request.Path.size() - sizeof("/v1/streams//records") + 1);
    if (Request.Method == "POST") {
      const auto RecordOffset =
          Store.append(Name, Request.Body, Common::WallTime());
      if (AnswersToLose-- > 0)
        Listener->respond(Id, {500, {}, "lost"});
      else
        Listener->respond(
            Id, {200, {{"x-offset", std::to_string(RecordOffset)}}, ""});
      return;
    }
    const std::size_t Begin = Request.Target.find("from=") + 5;
    OwnLog::Offset From = 0;
    std::from_chars(Request.Target.data() + Begin,
                    Request.Target.data() + Request.Target.size(), From);
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
  int AnswersToLose = 0;
  std::unique_ptr<Http::Server> Listener;
};

} // namespace UnitTests
