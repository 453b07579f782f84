#include "Node/NodeBuilder.h"

#include "Node/AdminService.h"
#include "Node/BackendService.h"
#include "Node/ClaimsService.h"
#include "Node/ConfigService.h"
#include "Node/ControlService.h"
#include "Node/FrontService.h"
#include "Node/MembersService.h"
#include "Node/PeersService.h"

namespace Node {

namespace {

using FrontAddress = Kernel::Address<FrontMessage>;
using PeersAddress = Kernel::Address<PeersMessage>;
using BackendAddress = Kernel::Address<BackendMessage>;
using MembersAddress = Kernel::Address<MembersMessage>;
using ConfigAddress = Kernel::Address<ConfigMessage>;
using ClaimsAddress = Kernel::Address<ClaimsMessage>;
using ControlAddress = Kernel::Address<ControlMessage>;
using AdminAddress = Kernel::Address<AdminMessage>;

using Front = FrontService<Routing::TwoChoices, PeersAddress, MembersAddress,
                           ClaimsAddress, AdminAddress>;
using PeersTask = PeersService<FrontAddress, BackendAddress>;
using BackendTask = BackendService<PeersAddress>;
using ConfigTask = ConfigService<FrontAddress, AdminAddress>;
using ClaimsTask = ClaimsService<FrontAddress, ControlAddress>;
using MembersTask =
    MembersService<FrontAddress, ConfigAddress, ClaimsAddress, AdminAddress>;
using AdminTask = AdminService<BackendAddress, MembersAddress>;

// Calls pass front, peers and backend on one task: each hop between threads
// costs up to 45 us at p99, of the 760 us that a call may be slowed by.
constexpr const char *CallTask = "calls";
constexpr const char *ControlTask = "control";

// Passes envelopes on to a service whose messages include them.
template <class Message>
EnvelopeSinks envelopeSinks(Kernel::Address<Message> Target) {
  return {[Target](EnvelopeArrived Part) mutable {
            Target.post(Message(std::move(Part)));
          },
          [Target](EnvelopeLost Part) mutable {
            Target.post(Message(std::move(Part)));
          }};
}

} // namespace

NodeBuilder &NodeBuilder::settings(NodeSettings Value) {
  Settings = std::move(Value);
  return *this;
}

Kernel::Host NodeBuilder::build() {
  Kernel::HostBuilder Builder;
  Builder.task(CallTask).task(ControlTask);
  const NodeSettings Own = Settings;

  // At a stop the order is turned round: members tell that the node leaves,
  // then the front and at last the backend side finish their calls.
  Builder.service<PeersTask>(
      PeersName, CallTask, {}, [Own](Kernel::Context Around) {
        return std::make_unique<PeersTask>(
            Around, Own, [&Services = Around.Services] {
              return PeersTask::Sinks{
                  Services.find<FrontMessage>(FrontName),
                  Services.find<BackendMessage>(BackendName)};
            });
      });
  Builder.service<BackendTask>(
      BackendName, CallTask, {PeersName}, [Own](Kernel::Context Around) {
        return std::make_unique<BackendTask>(
            Around, Own, [&Services = Around.Services] {
              return Services.find<PeersMessage>(PeersName);
            });
      });
  Builder.service<Front>(
      FrontName, CallTask, {PeersName, BackendName, ClaimsName},
      [Own](Kernel::Context Around) {
        return std::make_unique<Front>(
            Around, Own, Routing::TwoChoices(std::random_device{}()),
            Front::Sinks{Around.Services.find<PeersMessage>(PeersName),
                         Around.Services.find<MembersMessage>(MembersName),
                         Around.Services.find<ClaimsMessage>(ClaimsName),
                         Around.Services.find<AdminMessage>(AdminName)});
      });
  Builder.service<AdminTask>(
      AdminName, ControlTask, {FrontName}, [Own](Kernel::Context Around) {
        return std::make_unique<AdminTask>(
            Around, Own, [&Services = Around.Services] {
              return AdminTask::Sinks{
                  Services.find<BackendMessage>(BackendName),
                  Services.find<MembersMessage>(MembersName)};
            });
      });
  Builder.service<ControlService>(
      ControlName, ControlTask, {}, [Own](Kernel::Context Around) {
        return std::make_unique<ControlService>(
            Around, Own, [&Services = Around.Services] {
              ControlService::SinksByService Sinks;
              Sinks[ConfigName] =
                  envelopeSinks(Services.find<ConfigMessage>(ConfigName));
              Sinks[ClaimsName] =
                  envelopeSinks(Services.find<ClaimsMessage>(ClaimsName));
              return Sinks;
            });
      });
  Builder.service<ConfigTask>(
      ConfigName, ControlTask, {ControlName, FrontName, AdminName},
      [Own](Kernel::Context Around) {
        return std::make_unique<ConfigTask>(
            Around, Own,
            ConfigTask::Sinks{Around.Services.find<FrontMessage>(FrontName),
                              Around.Services.find<AdminMessage>(AdminName)});
      });
  // Claims outlive the front at a stop, so that the outcomes of the last calls
  // are still recorded.
  Builder.service<ClaimsTask>(
      ClaimsName, ControlTask, {ControlName}, [Own](Kernel::Context Around) {
        return std::make_unique<ClaimsTask>(
            Around, Own,
            ClaimsTask::Sinks{
                Around.Services.find<FrontMessage>(FrontName),
                Around.Services.find<ControlMessage>(ControlName)});
      });
  Builder.service<MembersTask>(
      MembersName, ControlTask, {FrontName, AdminName, ClaimsName},
      [Own](Kernel::Context Around) {
        return std::make_unique<MembersTask>(
            Around, Own, [&Services = Around.Services] {
              return MembersTask::Sinks{
                  Services.find<FrontMessage>(FrontName),
                  Services.find<ConfigMessage>(ConfigName),
                  Services.find<ClaimsMessage>(ClaimsName),
                  Services.find<AdminMessage>(AdminName)};
            });
      });
  return Builder.build();
}

} // namespace Node
