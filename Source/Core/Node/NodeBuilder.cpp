#include "Node/NodeBuilder.h"

#include "Admission/FifoOrder.h"
#include "Node/AdminService.h"
#include "Node/BackendService.h"
#include "Node/ClaimsService.h"
#include "Node/ConfigService.h"
#include "Node/ControlService.h"
#include "Node/FrontService.h"
#include "Node/MembersService.h"
#include "Node/MetricsService.h"
#include "Node/PeersService.h"
#include "Routing/AdaptiveChoice.h"

namespace Node {

namespace {

using FrontAddress = Kernel::Address<FrontMessage>;
using PeersAddress = Kernel::Address<PeersMessage>;
using BackendAddress = Kernel::Address<BackendMessage>;
using MembersAddress = Kernel::Address<MembersMessage>;
using ConfigAddress = Kernel::Address<ConfigMessage>;
using ClaimsAddress = Kernel::Address<ClaimsMessage>;
using MetricsAddress = Kernel::Address<MetricsMessage>;
using AdminAddress = Kernel::Address<AdminMessage>;

template <Routing::ChoicePolicy Policy>
using Front = FrontService<Policy, PeersAddress, MembersAddress, ClaimsAddress,
                           MetricsAddress, AdminAddress>;
using PeersTask = PeersService<FrontAddress, BackendAddress>;
using ControlAddress = Kernel::Address<ControlMessage>;
using ConfigTask = ConfigService<FrontAddress, AdminAddress, ControlAddress>;
using ClaimsTask = ClaimsService<FrontAddress, ControlAddress>;
using MembersTask =
    MembersService<FrontAddress, ConfigAddress, ClaimsAddress, AdminAddress>;
using AdminTask = AdminService<BackendAddress, MembersAddress, MetricsAddress>;
using MetricsTask = MetricsService<AdminAddress>;

// Calls pass front, peers and backend on one task: each hop between threads
// costs up to 45 us at p99, of the 760 us that a call may be slowed by.
constexpr const char *CallTask = "calls";
constexpr const char *ControlTask = "control";

template <Routing::ChoicePolicy Policy>
void addFront(Kernel::HostBuilder &Builder, const NodeSettings &Own,
              Policy Choice) {
  Builder.service<Front<Policy>>(
      FrontName, CallTask, {PeersName, BackendName, ClaimsName},
      [Own, Choice](Kernel::Context Around) {
        return std::make_unique<Front<Policy>>(
            Around, Own, Choice,
            typename Front<Policy>::Sinks{
                Around.Services.find<PeersMessage>(PeersName),
                Around.Services.find<MembersMessage>(MembersName),
                Around.Services.find<ClaimsMessage>(ClaimsName),
                Around.Services.find<MetricsMessage>(MetricsName),
                Around.Services.find<AdminMessage>(AdminName)});
      });
}

void addChosenFront(Kernel::HostBuilder &Builder, const NodeSettings &Own) {
  const std::uint64_t Seed = std::random_device{}();
  switch (Own.Choice) {
  case ChoiceName::Ours:
    return addFront(Builder, Own, Routing::AdaptiveChoice(Seed));
  case ChoiceName::TwoChoices:
    return addFront(Builder, Own, Routing::TwoChoices(Seed));
  case ChoiceName::LeastRequests:
    return addFront(Builder, Own, Routing::LeastRequests(Seed));
  case ChoiceName::RoundRobin:
    return addFront(Builder, Own, Routing::RoundRobinChoice());
  case ChoiceName::Random:
    return addFront(Builder, Own, Routing::RandomChoice(Seed));
  }
}

template <Admission::WaitingOrder Order>
void addBackend(Kernel::HostBuilder &Builder, const NodeSettings &Own) {
  using BackendTask = BackendService<PeersAddress, Order>;
  Builder.service<BackendTask>(
      BackendName, CallTask, {PeersName}, [Own](Kernel::Context Around) {
        return std::make_unique<BackendTask>(
            Around, Own, [&Services = Around.Services] {
              return Services.find<PeersMessage>(PeersName);
            });
      });
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
  if (Own.Admission == AdmissionOrder::Fifo)
    addBackend<Admission::FifoOrder>(Builder, Own);
  else
    addBackend<Admission::LaneOrder>(Builder, Own);
  addChosenFront(Builder, Own);
  Builder.service<MetricsTask>(
      MetricsName, ControlTask, {}, [](Kernel::Context Around) {
        return std::make_unique<MetricsTask>(
            Around, [&Services = Around.Services] {
              return Services.find<AdminMessage>(AdminName);
            });
      });
  Builder.service<AdminTask>(
      AdminName, ControlTask, {FrontName, MetricsName},
      [Own](Kernel::Context Around) {
        return std::make_unique<AdminTask>(
            Around, Own, [&Services = Around.Services] {
              return AdminTask::Sinks{
                  Services.find<BackendMessage>(BackendName),
                  Services.find<MembersMessage>(MembersName),
                  Services.find<MetricsMessage>(MetricsName)};
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
            ConfigTask::Sinks{
                Around.Services.find<FrontMessage>(FrontName),
                Around.Services.find<AdminMessage>(AdminName),
                Around.Services.find<ControlMessage>(ControlName)});
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
