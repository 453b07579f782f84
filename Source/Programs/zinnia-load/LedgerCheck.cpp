#include "Programs/zinnia-load/LedgerCheck.h"

#include <future>
#include <map>
#include <memory>
#include <sstream>

#include "Http/Client.h"

namespace Load {

namespace {

std::string fetch(Kernel::Task &Worker, const std::string &Url) {
  std::promise<Http::ClientResult> Answer;
  std::unique_ptr<Http::Client> Transport;
  Worker.runAndWait([&] {
    Transport = std::make_unique<Http::Client>(Worker);
    Http::ClientRequest Request;
    Request.Url = Url;
    Transport->send(std::move(Request), [&](Http::ClientResult Result) {
      Answer.set_value(std::move(Result));
    });
  });
  const Http::ClientResult Result = Answer.get_future().get();
  Worker.runAndWait([&] { Transport.reset(); });
  return Result.Answered ? Result.Reply.Body : "";
}

} // namespace

int countRepeatedCalls(Kernel::Task &Worker, const std::string &IdPrefix,
                       const std::vector<std::string> &Servers) {
  std::map<std::string, int> Runs;
  for (const std::string &Server : Servers) {
    std::istringstream Lines(
        fetch(Worker, "http://" + Server + "/standin/ledger"));
    std::string Id;
    int Count = 0;
    while (Lines >> Id >> Count)
      if (Id.rfind(IdPrefix, 0) == 0)
        Runs[Id] += Count;
  }
  int RepeatedCalls = 0;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1)
      ++RepeatedCalls;
  return RepeatedCalls;
}

} // namespace Load
