#include "Node/NodeBuilder.h"

#include "Admission/FifoOrder.h"
#include "Node/AdminService.h"
#include "Node/BackendService.h"
#include "Node/ClaimsService.h"
#include "Node/ConfigService.h"
#include "Node/ControlService.h"
#include "Node/IngressService.h"
#include "Node/MembersService.h"
#include "Node/MetricsService.h"
#include "Node/PeersService.h"
#include "Routing/AdaptiveChoice.h"

namespace Node {

namespace {

using IngressAddress = Kernel::Address<IngressMessage>;
using PeersAddress = Kernel::Address<PeersMessage>;
using BackendAddress = Kernel::Address<BackendMessage>;
using MembersAddress = Kernel::Address<MembersMessage>;
using ConfigAddress = Kernel::Address<ConfigMessage>;
using ClaimsAddress = Kernel::Address<ClaimsMessage>;
using MetricsAddress = Kernel::Address<MetricsMessage>;
using AdminAddress = Kernel::Address<AdminMessage>;

template <Routing::ChoicePolicy Policy>
using Ingress = IngressService<Policy, PeersAddress, MembersAddress,
                               ClaimsAddress, MetricsAddress, AdminAddress>;
using PeersTask = PeersService<IngressAddress, BackendAddress>;
using ControlAddress = Kernel::Address<ControlMessage>;
using ConfigTask = ConfigService<IngressAddress, AdminAddress, ControlAddress>;
using ClaimsTask = ClaimsService<IngressAddress, ControlAddress>;
using MembersTask =
    MembersService<IngressAddress, ConfigAddress, ClaimsAddress, AdminAddress>;
using AdminTask = AdminService<BackendAddress, MembersAddress, MetricsAddress>;
using MetricsTask = MetricsService<AdminAddress>;

// The ingress, peers and backend services that a call passes share one task:
// each hop between threads costs up to 45 us at p99, out of the 760 us by which
// a call may be delayed.
constexpr const char *CallTask = "calls";
constexpr const char *ControlTask = "control";

template <Routing::ChoicePolicy Policy>
void addIngress(Kernel::HostBuilder &Builder, const NodeSettings &Settings,
                Policy Choice) {
  Builder.service<Ingress<Policy>>(
      IngressName, CallTask, {PeersName, ClaimsName},
      [Settings, Choice](Kernel::Context Context) {
        return std::make_unique<Ingress<Policy>>(
            Context, Settings, Choice,
            typename Ingress<Policy>::Sinks{
                Context.Services.find<PeersMessage>(PeersName),
                Context.Services.find<MembersMessage>(MembersName),
                Context.Services.find<ClaimsMessage>(ClaimsName),
                Context.Services.find<MetricsMessage>(MetricsName),
                Context.Services.find<AdminMessage>(AdminName)});
      });
}

void addIngressByChoice(Kernel::HostBuilder &Builder,
                        const NodeSettings &Settings) {
  const std::uint64_t Seed = std::random_device{}();
  switch (Settings.Choice) {
  case ChoiceKind::Adaptive:
    return addIngress(Builder, Settings, Routing::AdaptiveChoice(Seed));
  case ChoiceKind::TwoChoices:
    return addIngress(Builder, Settings, Routing::TwoChoices(Seed));
  case ChoiceKind::LeastRequests:
    return addIngress(Builder, Settings, Routing::LeastRequests(Seed));
  case ChoiceKind::RoundRobin:
    return addIngress(Builder, Settings, Routing::RoundRobinChoice());
  case ChoiceKind::Random:
    return addIngress(Builder, Settings, Routing::RandomChoice(Seed));
  }
}

template <Admission::WaitingOrder Order>
void addBackend(Kernel::HostBuilder &Builder, const NodeSettings &Settings) {
  using BackendTask = BackendService<PeersAddress, Order>;
  Builder.service<BackendTask>(
      BackendName, CallTask, {PeersName, IngressName},
      [Settings](Kernel::Context Context) {
        return std::make_unique<BackendTask>(
            Context, Settings, [&Services = Context.Services] {
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
  const NodeSettings SettingsCopy = Settings;

  // Each service stops before those that it depends on: the members service
  // announces that the node leaves, then the backend service finishes its
  // calls, for which the backend server may call through the ingress, and
  // finally the ingress finishes its own.
  Builder.service<PeersTask>(
      PeersName, CallTask, {}, [SettingsCopy](Kernel::Context Context) {
        return std::make_unique<PeersTask>(
            Context, SettingsCopy, [&Services = Context.Services] {
              return PeersTask::Sinks{
                  Services.find<IngressMessage>(IngressName),
                  Services.find<BackendMessage>(BackendName)};
            });
      });
  if (SettingsCopy.Admission == AdmissionOrder::Fifo)
    addBackend<Admission::FifoOrder>(Builder, SettingsCopy);
  else
    addBackend<Admission::LaneOrder>(Builder, SettingsCopy);
  addIngressByChoice(Builder, SettingsCopy);
  Builder.service<MetricsTask>(
      MetricsName, ControlTask, {}, [](Kernel::Context Context) {
        return std::make_unique<MetricsTask>(
            Context, [&Services = Context.Services] {
              return Services.find<AdminMessage>(AdminName);
            });
      });
  Builder.service<AdminTask>(
      AdminName, ControlTask, {IngressName, MetricsName},
      [SettingsCopy](Kernel::Context Context) {
        return std::make_unique<AdminTask>(
            Context, SettingsCopy, [&Services = Context.Services] {
              return AdminTask::Sinks{
                  Services.find<BackendMessage>(BackendName),
                  Services.find<MembersMessage>(MembersName),
                  Services.find<MetricsMessage>(MetricsName)};
            });
      });
  Builder.service<ControlService>(
      ControlName, ControlTask, {}, [SettingsCopy](Kernel::Context Context) {
        return std::make_unique<ControlService>(
            Context, SettingsCopy, [&Services = Context.Services] {
              ControlService::SinksByService Sinks;
              Sinks[ConfigName] =
                  envelopeSinks(Services.find<ConfigMessage>(ConfigName));
              Sinks[ClaimsName] =
                  envelopeSinks(Services.find<ClaimsMessage>(ClaimsName));
              return Sinks;
            });
      });
  Builder.service<ConfigTask>(
      ConfigName, ControlTask, {ControlName, IngressName, AdminName},
      [SettingsCopy](Kernel::Context Context) {
        return std::make_unique<ConfigTask>(
            Context, SettingsCopy,
            ConfigTask::Sinks{
                Context.Services.find<IngressMessage>(IngressName),
                Context.Services.find<AdminMessage>(AdminName),
                Context.Services.find<ControlMessage>(ControlName)});
      });
  // The claims service stops after the ingress, so that the outcomes of the
  // last calls are still recorded.
  Builder.service<ClaimsTask>(
      ClaimsName, ControlTask, {ControlName},
      [SettingsCopy](Kernel::Context Context) {
        return std::make_unique<ClaimsTask>(
            Context, SettingsCopy,
            ClaimsTask::Sinks{
                Context.Services.find<IngressMessage>(IngressName),
                Context.Services.find<ControlMessage>(ControlName)});
      });
  Builder.service<MembersTask>(
      MembersName, ControlTask,
      {IngressName, BackendName, AdminName, ClaimsName},
      [SettingsCopy](Kernel::Context Context) {
        return std::make_unique<MembersTask>(
            Context, SettingsCopy, [&Services = Context.Services] {
              return MembersTask::Sinks{
                  Services.find<IngressMessage>(IngressName),
                  Services.find<ConfigMessage>(ConfigName),
                  Services.find<ClaimsMessage>(ClaimsName),
                  Services.find<AdminMessage>(AdminName)};
            });
      });
  return Builder.build();
}

} // namespace Node
