// A host with one planted fault, named by its argument: each breaks a promise,
// and a soak that does not find it is of no use.
#include <array>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "node/log.h"
#include "platform/edge.h"
#include "platform/host.h"
#include "platform/settings.h"
#include "soak/host-process.h"
#include "soak/planted.h"

namespace comfreyflow::soak {
namespace {

using gateway::EdgeHooks;
using gateway::ObjectStore;
using platform::HostParts;
using Json = nlohmann::json;
constexpr int kServerErrors = 500;
constexpr int kUnavailable = 503;

/// Takes a target's failure for its word that it did not run the request.
void RepeatFailed(HostParts& parts) {
  parts.edge.read_head = [read = parts.edge.read_head](const auto& response) {
    gateway::TargetHead head = read(response);
    head.reported_not_run =
        head.reported_not_run || head.status >= kServerErrors;
    return head;
  };
}

/// Says of every failure that nothing ran.
void PromiseFailed(HostParts& parts) {
  parts.edge.write_failure = [write = parts.edge.write_failure](
                                 Errc code, Duration retry_after,
                                 const std::string& id) {
    http::Response response = write(code, retry_after, id);
    if (response.status >= kServerErrors) response.status = kUnavailable;
    return response;
  };
}

void DropMark(HostParts& parts) {
  parts.edge.write_head = [write = parts.edge.write_head](const auto& answer) {
    http::Response head = write(answer);
    std::erase_if(head.fields,
                  [](const auto& f) { return f.name == "x-seal"; });
    return head;
  };
}

using Change = std::function<void(const http::Request&, gateway::ForwardHead&,
                                  http::Request&)>;

void ChangeRequests(HostParts& parts, Change change) {
  parts.edge.write_request =
      [write = parts.edge.write_request, change = std::move(change)](
          const http::Request& request, const gateway::ForwardHead& given) {
        gateway::ForwardHead head = given;
        http::Request out = write(request, head);
        change(request, head, out);
        return out;
      };
}

void PassKey(HostParts& parts) {
  ChangeRequests(parts, [](const auto& request, auto&, auto& out) {
    out.fields.push_back(
        {"authorization",
         std::string(http::FieldValue(request.fields, "authorization"))});
  });
}

void ChangeAccount(HostParts& parts) {
  ChangeRequests(parts, [](const auto&, auto&, auto& out) {
    for (auto& field : out.fields) {
      if (field.name == "x-tenant") field.value = "account0";
    }
  });
}

void ChangePath(HostParts& parts) {
  ChangeRequests(parts, [](const auto&, auto&, auto& out) {
    const auto at = out.target.find("%2f");
    if (at != std::string::npos) out.target.replace(at, 3, "/");
  });
}

/// Resumes a stream one event too late.
void SkipEvent(HostParts& parts) {
  ChangeRequests(parts, [](const auto&, auto&, auto& out) {
    for (auto& field : out.fields) {
      if (field.name != "last-event-id") continue;
      field.value = std::to_string(std::stoi(field.value) + 1);
    }
  });
}

/// Keeps the first key it saw for every caller.
void TakeAnyKey(HostParts& parts) {
  const auto first = std::make_shared<Credentials>();
  parts.edge.read_request = [read = parts.edge.read_request,
                             first](const http::Request& request) {
    gateway::CallerRequest out = read(request);
    if (first->form == CredentialsForm::kAbsent) *first = out.credentials;
    out.credentials = *first;
    return out;
  };
}

void KeepMemory(HostParts& parts) {
  parts.edge.write_release = [reserve = parts.edge.write_reserve](
                                 const std::string& target,
                                 const std::string& id) {
    constexpr std::uint32_t kTokens = 1000;
    return reserve(target, id, kTokens, std::chrono::seconds(20));
  };
}

/// Changes what the store tells of a kind.
void ChangeStore(HostParts& parts, const std::string& kind,
                 std::function<void(WatchAnswer&)> change) {
  parts.wrap_store = [kind, change = std::move(change)](ObjectStore store) {
    store.watch = [watch = store.watch, kind, change](
                      const std::string& asked, const StoreVersion& version,
                      Duration wait, const gateway::WatchHandler& handler) {
      if (asked != kind) return watch(asked, version, wait, handler);
      watch(asked, version, wait, [change, handler](WatchAnswer changes) {
        change(changes);
        handler(std::move(changes));
      });
    };
    return store;
  };
}

void IgnoreLeaving(HostParts& parts) {
  ChangeStore(parts, "servers", [](WatchAnswer& changes) {
    std::erase_if(changes.changes, [](const auto& c) { return c.deleted; });
    for (auto& object : changes.changes) {
      Json json = Json::parse(object.value);
      json["State"] = "ready";
      object.value = json.dump();
    }
  });
}

void IgnoreConfiguration(HostParts& parts) {
  ChangeStore(parts, "config",
              [](WatchAnswer& changes) { changes.changes.clear(); });
}

void IgnoreEvacuations(HostParts& parts) {
  ChangeStore(parts, "evacuations",
              [](WatchAnswer& changes) { changes.changes.clear(); });
}

/// Lets each watch wait for half a minute.
void KeepWatches(HostParts& parts) {
  parts.wrap_store = [](ObjectStore store) {
    store.watch = [watch = store.watch](
                      const std::string& kind, const StoreVersion& version,
                      Duration wait, const gateway::WatchHandler& handler) {
      constexpr Duration kWait = std::chrono::seconds(30);
      watch(kind, version, wait > Duration::zero() ? kWait : wait, handler);
    };
    return store;
  };
}

void IgnoreToldLeaving(HostParts& parts) {
  parts.edge.read_head = [read = parts.edge.read_head](const auto& response) {
    gateway::TargetHead head = read(response);
    head.leaving = false;
    return head;
  };
}

/// Lets a stream that goes on begin again.
void JoinRuns(HostParts& parts) {
  ChangeRequests(parts, [](const auto&, auto&, auto& out) {
    std::erase_if(out.fields,
                  [](const auto& f) { return f.name == "last-event-id"; });
  });
}

void DieIfDeep(const std::string& body) {
  constexpr std::size_t kDepth = 1000;
  if (body.find(std::string(kDepth, '[')) != std::string::npos) std::abort();
}

void DieOfEntry(HostParts& parts) {
  ObjectApi& api = parts.store_api;
  api.read_list = [read = api.read_list](const auto& body, auto& out) {
    DieIfDeep(body);
    read(body, out);
  };
  api.read_watch = [read = api.read_watch](const auto& body, auto& out) {
    DieIfDeep(body);
    read(body, out);
  };
}

/// Its parts are sound; see `EarlyEnd`.
void TakeLate(HostParts& /*parts*/) {}

/// The host takes its time to stop for twice as long as it is, so that it takes
/// requests to the end, which cuts them.
class EarlyEnd {
 public:
  EarlyEnd(boost::asio::io_context& io, platform::HostSettings& settings)
      : io_(io), signals_(io, SIGTERM), timer_(io) {
    const Duration granted = settings.stop_time;
    settings.stop_time *= 2;
    signals_.async_wait(
        [this, granted](const boost::system::error_code& error, int) {
          if (error) return;
          timer_.expires_after(granted * 8 / 9);
          timer_.async_wait(
              [this](const boost::system::error_code&) { io_.stop(); });
        });
  }

 private:
  boost::asio::io_context& io_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

/// Takes each arrival of a request for one of its own id, and each answer that
/// names the request for that to the last arrival.
void BelieveCopies(HostParts& parts) {
  const auto last = std::make_shared<std::map<std::string, std::string>>();
  parts.edge.read_request = [read = parts.edge.read_request, last,
                             count = 0](const http::Request& request) mutable {
    gateway::CallerRequest out = read(request);
    if (out.id.empty()) return out;
    std::string& id = (*last)[out.id];
    id = out.id + '#' + std::to_string(++count);
    out.id = id;
    return out;
  };
  parts.edge.read_head = [read = parts.edge.read_head,
                          last](const auto& response) {
    gateway::TargetHead head = read(response);
    const auto at = last->find(head.request_id);
    if (at != last->end()) head.request_id = at->second;
    return head;
  };
}

/// Takes the store's revisions as if they only rose.
void IgnoreEra(HostParts& parts) { parts.store_api.read_era = nullptr; }

void IgnoreRetryAfter(HostParts& parts) {
  parts.edge.read_head = [read = parts.edge.read_head](const auto& response) {
    gateway::TargetHead head = read(response);
    head.back_off.reset();
    return head;
  };
}

void IgnoreLimit(HostParts& parts) {
  parts.edge.read_head = [read = parts.edge.read_head](const auto& response) {
    gateway::TargetHead head = read(response);
    head.rate_limit.reset();
    return head;
  };
}

/// Takes a limit for what this host alone may send.
void LimitEachHost(HostParts& parts) {
  constexpr double kHosts = 6;
  parts.edge.read_head = [read = parts.edge.read_head](const auto& response) {
    gateway::TargetHead head = read(response);
    if (head.rate_limit) *head.rate_limit *= kHosts;
    return head;
  };
}

using Plant = void (*)(HostParts&);

/// In the order of `kPlanted`.
constexpr std::array<Plant, kPlanted.size()> kPlants = {
    RepeatFailed,      PromiseFailed,       DropMark,
    PassKey,           ChangeAccount,       ChangePath,
    SkipEvent,         TakeAnyKey,          KeepMemory,
    IgnoreLeaving,     IgnoreConfiguration, KeepWatches,
    IgnoreToldLeaving, IgnoreRetryAfter,    IgnoreLimit,
    LimitEachHost,     IgnoreEra,           TakeLate,
    JoinRuns,          DieOfEntry,          BelieveCopies,
    IgnoreEvacuations};

Plant Find(const std::string& fault) {
  for (std::size_t i = 0; i < kPlanted.size(); ++i) {
    if (kPlanted[i].name == fault) return kPlants[i];
  }
  return nullptr;
}

/// Refuses new connections to the ports that stand in the file.
std::string PathTo(const std::string& address) {
  const char* path = std::getenv(kCutFileVariable);
  std::ifstream file(path == nullptr ? "" : path);
  const std::string port = address.substr(address.find(':') + 1);
  for (std::string cut; file >> cut;) {
    if (cut == port) return "127.0.0.1:1";
  }
  return address;
}

int Run(const std::string& fault) {
  const Plant plant = Find(fault);
  if (plant == nullptr && !fault.empty()) {
    std::cerr << "planted faults:";
    for (const auto& planted : kPlanted) std::cerr << ' ' << planted.name;
    std::cerr << '\n';
    return EXIT_FAILURE;
  }
  node::StartLog("soak-planted-host");
  const char* path = std::getenv(platform::kSettingsVariable);
  platform::HostSettings settings;
  std::string problem;
  if (path == nullptr || platform::ReadSettings(path, settings, problem)) {
    return EXIT_FAILURE;
  }
  HostParts parts;
  parts.path = PathTo;
  if (plant != nullptr) plant(parts);
  boost::asio::io_context io(1);
  std::optional<EarlyEnd> early_end;
  if (plant == TakeLate) early_end.emplace(io, settings);
  platform::Host host(io, settings, path, std::move(parts));
  if (host.Start()) return EXIT_FAILURE;
  io.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace comfreyflow::soak

int main(int argc, char** argv) {
  return comfreyflow::soak::Run(argc > 1 ? argv[1] : "");
}
