// Connects the membership protocol with its socket and timer.
#include "gateway/peers.h"

#include <utility>

#include "node/clock.h"
#include "node/log.h"
#include "node/run-loop.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;

}  // namespace

struct Peers::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, MembershipSettings initial_settings,
        PeersHooks hooks)
      : address(initial_settings.self.gossip),
        membership(std::move(initial_settings), Now()),
        hooks(std::move(hooks)),
        timer(io) {}

  void Tick() {
    timer.expires_after(kMembershipTick);
    timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->is_stopped) return;
          const node::AtExit repeat([&self] { self->Tick(); });
          self->membership.SetFacts(self->hooks.facts());
          self->membership.SetConfig(self->hooks.config_mark());
          if (self->hooks.store_era)
            self->membership.SetStoreEra(self->hooks.store_era());
          if (self->hooks.evacuations)
            self->membership.SetEvacuations(self->hooks.evacuations());
          self->Execute(self->membership.Tick(Now()));
        });
  }

  void Execute(const MembershipOutput& output) {
    for (const auto& datagram : output.datagrams) socket->Send(datagram);
    for (const auto& event : output.events) {
      std::visit([this](const auto& typed) { OnEvent(typed); }, event);
    }
  }

  void OnEvent(const MemberChanged& event) {
    LogLine(Severity::kInfo, Event::kMemberChanged)
        .With("member", event.record.name)
        .With("member_incarnation", event.record.incarnation.value)
        .With("state", ToString(event.state));
    hooks.changed(event);
  }
  void OnEvent(const ConfigAnnounced& event) { hooks.config_announced(event); }
  void OnEvent(const TargetMark& event) { hooks.target_marked(event); }
  /// Hosts of older builds report requests under which connections broke,
  /// whether or not a target crashed.
  void OnEvent(const SuspectMark&) {}
  void OnEvent(const StoreEraAnnounced& event) {
    if (hooks.store_era_announced) hooks.store_era_announced(event);
  }
  void OnEvent(const EvacuationsAnnounced& event) {
    if (hooks.evacuations_announced) hooks.evacuations_announced(event);
  }

  const std::string address;
  Membership membership;
  PeersHooks hooks;
  asio::steady_timer timer;
  std::shared_ptr<node::GossipSocket> socket;
  bool is_stopped = false;
};

Peers::Peers(asio::io_context& io, MembershipSettings settings,
             wire::FleetKey key, PeersHooks hooks)
    : state_(
          std::make_shared<State>(io, std::move(settings), std::move(hooks))) {
  state_->socket = std::make_shared<node::GossipSocket>(
      io, std::move(key),
      [state = std::weak_ptr(state_)](const Datagram& datagram,
                                      const std::string& from) {
        const auto self = state.lock();
        if (!self || self->is_stopped) return;
        self->Execute(self->membership.Handle(datagram, from, Now()));
      });
}

Peers::~Peers() {
  state_->is_stopped = true;
  state_->timer.cancel();
  state_->socket->Close();
}

std::error_code Peers::Open() {
  if (const auto error = state_->socket->Open(state_->address)) return error;
  state_->socket->Start();
  state_->Tick();
  return {};
}

void Peers::SetListed(std::vector<ListedHost> hosts) {
  state_->membership.SetPlatformList(std::move(hosts));
}

void Peers::SetStoreReaders(std::set<HostName> readers) {
  state_->membership.SetStoreReaders(std::move(readers));
}

void Peers::ShareTarget(const TargetMark& mark) {
  state_->membership.ShareTarget(mark);
}

void Peers::Leave() { state_->Execute(state_->membership.Leave(Now())); }

const std::map<HostName, Member>& Peers::members() const {
  return state_->membership.members();
}

}  // namespace comfreyflow::gateway
