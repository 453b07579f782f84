#pragma once

#include <spdlog/spdlog.h>

#include "Kernel/Host.h"
#include "Membership/AnnouncementFilter.h"
#include "Membership/AnnouncementScreen.h"
#include "Membership/DepartureRecall.h"
#include "Membership/DepartureRecorder.h"
#include "Membership/HeldAnnouncements.h"
#include "Node/Messages.h"

namespace Node {

// Decides which announcements and departures of the backend server beside this
// node are in force. A departure is acknowledged once the directory has
// recorded it, so that it also binds a later process of this node. A new
// process holds announcements back until it knows the recorded departure and
// the services that are configured.
template <Kernel::MessageSink<BackendMessage> Backend,
          Kernel::MessageSink<MembersMessage> Members,
          Kernel::MessageSink<DirectoryMessage> Directory,
          Kernel::MessageSink<AnnouncementAnswered> Edge>
class AnnouncementService {
public:
  using Message = AnnouncementMessage;

  struct Sinks {
    Backend ToBackend;
    Members ToMembers;
    Directory ToDirectory;
    Edge ToEdge;
    // Closed if the ingress does not name the service on this VM.
    Kernel::Address<IngressMessage> ToIngress = {};
  };

  AnnouncementService(Kernel::Context Context, std::function<Sinks()> FindSinks,
                      Membership::AnnouncementScreen Screen)
      : Task(Context.ServiceTask), FindSinks(std::move(FindSinks)),
        Screen(std::move(Screen)), Recall(now()) {}

  void start() {
    Targets = FindSinks();
    awaitRecall();
  }
  void handle(Message Content) {
    std::visit([this](auto &Event) { this->onMessage(Event); }, Content);
  }
  void stop() {}

private:
  static constexpr Common::Millis TickInterval{100};
  static constexpr Common::Millis RecordRetryDelay{500};

  static Common::SteadyTime now() { return std::chrono::steady_clock::now(); }

  void onMessage(AnnouncementArrived &Event) {
    const Membership::Announcement &Received = Event.Received;
    const bool MayBeUsed = IsRecalled && Screen.isReady();
    if (MayBeUsed)
      use(Received);
    else if (Received.Server.Leaving)
      leave({Received.Server.Server, Received.StartTime, Received.ReceivedAt});
    else
      HeldBack.add(Received, now());
    if (Received.Server.Leaving)
      acknowledgeDeparture(Event.Exchange);
    else
      answer(Event.Exchange, Common::ResultCode::Ok);
  }

  void onMessage(DepartureArrived &Event) {
    leave(Event.Received);
    acknowledgeDeparture(Event.Exchange);
  }

  void leave(const Membership::Departure &Announced) {
    const Membership::Departure Received =
        Membership::AnnouncementScreen::withoutImpossibleStart(Announced);
    const bool IsCurrent = Filter.handleDeparture(Received);
    spdlog::info("event=server-left server={} current={} start-time-sent={}",
                 Received.Server, IsCurrent, Received.StartTime.has_value());
    if (IsCurrent)
      Targets.ToBackend.post(ServerLeft{Received.Server});
    // Sent before the departure is recorded, so that the other nodes know it
    // when it is acknowledged.
    Targets.ToMembers.post(ServerLeft{Received.Server, Filter.departed()});
  }

  void onMessage(DepartureRecorded &Event) {
    const bool Succeeded = Event.Code == Common::ResultCode::Ok;
    if (!Succeeded)
      spdlog::warn("event=departure-not-recorded server={} code={}",
                   Event.Departed.Server, Common::resultCodeNumber(Event.Code));
    for (const auto Exchange : Recorder.onRecorded(Succeeded))
      answer(Exchange, Event.Code);
    if (!Succeeded && Recorder.isRecordOwed())
      Clock.after(RecordRetryDelay, [this] { recordAgain(); });
    recordNext();
  }

  void onMessage(const EntriesLost &) {
    if (!Filter.departed())
      return;
    Recorder.loseRecord();
    recordAgain();
  }

  void onMessage(DepartureListed &Event) {
    if (Event.Departed) {
      Recorder.adopt(*Event.Departed);
      adopt(*Event.Departed, "directory");
    }
    Recall.onListed();
    finishRecall();
  }

  void onMessage(DepartureReported &Event) {
    adopt(Event.Departed, "other nodes");
  }

  void onMessage(ConfigAccepted &Event) {
    Screen.useSet(Event.Newest.Set);
    useHeldBack();
  }

  void onMessage(MembersChanged &Event) {
    Recall.setLiveMembers(Event.Alive->size());
  }

  // Uses an announcement that is not held back.
  void use(const Membership::Announcement &Received) {
    Common::ResultCode Screened = Screen.check(Received);
    // The server of a service that is configured no more still has to leave.
    if (Screened == Common::ResultCode::ServiceUnknown &&
        Filter.isOfCurrentServer(Received))
      Screened = Common::ResultCode::Ok;
    const Common::ResultCode Result = Screened == Common::ResultCode::Ok
                                          ? Filter.handleAnnouncement(Received)
                                          : Screened;
    if (Result != Common::ResultCode::Ok) {
      spdlog::warn(
          "event=heartbeat-ignored server={} service={} sequence={} code={}",
          Received.Server.Server, Received.Server.Service, Received.Sequence,
          Common::resultCodeNumber(Result));
      return;
    }
    ServerAnnounced Announced{Received.Server, Received.Address};
    Announced.ColdLeft = Received.ColdLeft;
    if (Received.Server.Leaving)
      Announced.Departed = Filter.departed();
    Targets.ToBackend.post(Announced);
    Targets.ToMembers.post(Announced);
    Targets.ToIngress.post(
        LocalServerAnnounced{Received.Server.Service, Received.StartTime});
  }

  // Acknowledges that the server leaves, once this is recorded.
  void acknowledgeDeparture(Http::ExchangeId Exchange) {
    if (!Filter.departed() || Recorder.request(Exchange, *Filter.departed()))
      answer(Exchange, Common::ResultCode::Ok);
    else
      recordNext();
  }

  // Records the last departure without a request of the server.
  void recordAgain() {
    Recorder.recordOwed(*Filter.departed());
    recordNext();
  }

  void recordNext() {
    if (const auto Departed = Recorder.next())
      Targets.ToDirectory.post(RecordDeparture{*Departed});
  }

  void adopt(const Membership::DepartedServer &Departed,
             const std::string &Source) {
    const bool IsCurrent = Filter.adoptDeparture(Departed);
    spdlog::info("event=departure-recalled server={} source=\"{}\" current={}",
                 Departed.Server, Source, IsCurrent);
    if (!IsCurrent)
      return;
    Targets.ToBackend.post(ServerLeft{Departed.Server});
    Targets.ToMembers.post(ServerLeft{Departed.Server, Departed});
  }

  void awaitRecall() {
    finishRecall();
    if (!IsRecalled)
      Clock.after(TickInterval, [this] { awaitRecall(); });
  }

  void finishRecall() {
    if (IsRecalled || !Recall.isComplete(now()))
      return;
    IsRecalled = true;
    spdlog::info("event=recall-complete");
    useHeldBack();
  }

  void useHeldBack() {
    if (!IsRecalled || !Screen.isReady())
      return;
    for (const Membership::Announcement &Received : HeldBack.take(now()))
      use(Received);
  }

  void answer(Http::ExchangeId Exchange, Common::ResultCode Code) {
    Targets.ToEdge.post(AnnouncementAnswered{Exchange, Code});
  }

  Kernel::Task &Task;
  Kernel::Timers Clock{Task};
  std::function<Sinks()> FindSinks;
  Sinks Targets;
  Membership::AnnouncementScreen Screen;
  Membership::AnnouncementFilter Filter;
  Membership::DepartureRecorder Recorder;
  Membership::DepartureRecall Recall;
  bool IsRecalled = false;
  Membership::HeldAnnouncements HeldBack;
};

} // namespace Node
