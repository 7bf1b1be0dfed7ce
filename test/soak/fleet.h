/// Host processes beside stand-ins of the store and the targets, for tests.
#pragma once

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/stand-ins.h"
#include "soak/host-process.h"

namespace comfreyflow::soak {

inline constexpr std::size_t kMostHosts = 2;

/// Host processes beside stand-ins of the store and the targets, which run on
/// the test's thread.
class Fleet {
 public:
  Fleet() {
    std::filesystem::create_directories(directory_);
    PutConfig(1, [](nlohmann::json&) {});
  }
  ~Fleet() {
    hosts_.clear();
    std::filesystem::remove_all(directory_);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  platform::FakeTarget& AddTarget(const std::string& service, int slots) {
    targets_.push_back(std::make_unique<platform::FakeTarget>(
        io_, "i" + std::to_string(targets_.size() + 1)));
    platform::FakeTarget& target = *targets_.back();
    List(service, target.name(), target.address(), slots);
    return target;
  }

  void List(const std::string& service, const std::string& name,
            const std::string& address, int slots) {
    nlohmann::json entry =
        platform::SampleEntry(service, address, "z1", "ready");
    entry["Slots"] = slots;
    store_.Put("servers", name, entry);
  }

  boost::asio::io_context& io() { return io_; }

  void PutConfig(std::uint64_t version,
                 const std::function<void(nlohmann::json&)>& change) {
    nlohmann::json config = platform::SampleConfig(version);
    // A long objective keeps a target that works from being taken for silent.
    platform::SetRouteTimes(config, kTimeout, kTimeout);
    change(config);
    store_.Put("config", "main", config);
  }

  /// Starts a host and waits until it is ready.
  HostProcess& AddHost() {
    HostPlan plan;
    plan.program = Program();
    plan.directory = directory_.string();
    plan.name = "host" + std::to_string(hosts_.size());
    plan.failure_domain = "z1";
    plan.ip = platform::LoopbackIp(hosts_.size());
    plan.store = store_.address();
    for (std::size_t i = 0; i < kMostHosts; ++i) {
      plan.seeds.push_back(platform::LoopbackIp(i));
    }
    hosts_.push_back(std::make_unique<HostProcess>(plan));
    HostProcess& host = *hosts_.back();
    host.Start();
    REQUIRE(Until([&] {
      const auto answer = Fetch(host.At(kReadyPort), "GET", "/readyz");
      Until([&answer] { return answer->ended; });
      return answer->whole && answer->response.status == 200;
    }));
    return host;
  }

  /// Whether the host holds the placer of the service, once it knows another.
  bool Holds(const HostProcess& host, const std::string& service) {
    constexpr int kOperatorPort = 9464;
    std::string holder;
    REQUIRE(Until([&] {
      const auto dump = Fetch(host.At(kOperatorPort), "GET", "/dump");
      Until([&dump] { return dump->ended; });
      const nlohmann::json json =
          nlohmann::json::parse(dump->response.body, nullptr, false);
      if (!dump->whole || !json.is_object()) return false;
      if (json.at("hosts").size() < kMostHosts) return false;
      holder = json.at("services").at(service).at("holder");
      return !holder.empty();
    }));
    return holder == host.plan().name;
  }

  /// Runs the loop until `done` or twenty seconds have passed.
  bool Until(const std::function<bool()>& done) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
      if (std::chrono::steady_clock::now() > limit) return false;
      io_.run_for(std::chrono::milliseconds(5));
    }
    return true;
  }
  bool UntilGone(HostProcess& host) {
    return Until([&host] { return !host.Running(); });
  }

  std::shared_ptr<platform::Answer> Send(const HostProcess& host,
                                         const std::string& method,
                                         const std::string& path) {
    return Fetch(host.At(kCallerPort), method, path);
  }

  boost::asio::ip::tcp::socket Connect(const HostProcess& host) {
    constexpr int kReceiveBytes = 16 * 1024;
    boost::asio::ip::tcp::socket socket(io_);
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
    socket.connect({boost::asio::ip::make_address(host.plan().ip),
                    static_cast<std::uint16_t>(kCallerPort)});
    return socket;
  }

 private:
  static constexpr std::chrono::milliseconds kTimeout{15'000};

  static std::string Program() {
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
           "comfreyflow-host";
  }

  std::shared_ptr<platform::Answer> Fetch(const std::string& address,
                                          const std::string& method,
                                          const std::string& path) {
    http::Request request;
    request.method = method;
    request.target = path;
    request.fields = {{"host", "a.example"},
                      {"x-request-id", "id" + std::to_string(++next_id_)},
                      {"x-deadline-ms", std::to_string(kTimeout.count())},
                      {"x-token-count", "2000,100"},
                      {"authorization", "Token key1"}};
    http::CallOptions options;
    options.fresh_connection = true;
    options.progress_timeout = kTimeout;
    const auto answer = std::make_shared<platform::Answer>();
    answer->call =
        client_.Fetch(address, std::move(request), options,
                      [answer](http::CallEnd end, http::Response response) {
                        answer->ended = true;
                        answer->whole = end.code == Errc::kOk;
                        answer->response = std::move(response);
                      });
    return answer;
  }

  const std::filesystem::path directory_ =
      std::filesystem::temp_directory_path() /
      ("comfreyflow-fleet-" + std::to_string(::getpid()));
  boost::asio::io_context io_{1};
  http::Client client_{io_};
  platform::FakeStore store_{io_};
  std::vector<std::unique_ptr<platform::FakeTarget>> targets_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  int next_id_ = 0;
};

}  // namespace comfreyflow::soak
