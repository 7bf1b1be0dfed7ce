// What a host costs between callers and an engine: tokens relayed a second of
// processor time, time added to the first token, and memory for an open
// stream. The engine's stand-in, the callers and the host run in this process;
// the threads of the first two are taken off the processor time, and a run
// without the host is taken off the memory.
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "comfreyflow/config.h"
#include "http/client.h"
#include "http/server.h"
#include "node/answer.h"
#include "node/node.h"

namespace {

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const std::string kKey = "key-of-the-bench";
constexpr int kRounds = 400;
/// Length of a stream that does not end while it is measured.
constexpr std::uint64_t kFlowTokens = 20'000;
constexpr milliseconds kIteration{
    8};  // Of the engine: a token for each stream.

double Seconds(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

/// One Asio context with its thread, whose processor time can be read.
class Loop {
 public:
  Loop() : thread_([this] { io_.run(); }) {
    pthread_getcpuclockid(thread_.native_handle(), &clock_);
  }
  ~Loop() {
    io_.stop();
    thread_.join();
  }
  boost::asio::io_context& io() { return io_; }
  double cpu() const { return Seconds(clock_); }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::thread thread_;
  clockid_t clock_{};
};

/// An engine that decodes one token a stream in each iteration. A prompt of
/// `first` ends after one token; any other goes on for `max_tokens`.
class Source {
 public:
  Source()
      : server_(loop_.io(), {}, Hooks(),
                std::make_shared<http::BodyBudget>(1 << 28)),
        timer_(loop_.io()) {
    if (server_.Listen("127.0.0.1:0")) std::abort();
    boost::asio::post(loop_.io(), [this] { Iterate(); });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }
  double cpu() const { return loop_.cpu(); }

 private:
  struct Stream {
    http::ExchangePtr exchange;
    std::uint64_t left = 0;
    std::uint64_t offset = 0;
  };

  http::ServerHooks Hooks() {
    http::ServerHooks hooks;
    hooks.admit_head = [](const http::Request&) { return Errc::kOk; };
    hooks.handle = [this](const http::ExchangePtr& exchange) {
      Handle(exchange);
    };
    hooks.error_response = [](Errc code) {
      return node::ErrorResponse(node::FailureOf(code));
    };
    return hooks;
  }

  void Handle(const http::ExchangePtr& exchange) {
    const auto& request = exchange->request();
    if (request.path == "/v1/load") {
      http::Response load;
      load.body = R"({"epoch":1,"seq":)" + std::to_string(++load_sequence_) +
                  R"(,"age_ms":0,"running":0,"waiting":0,"kv_used":0,)"
                  R"("kv_capacity":1000000000,"max_running":100000,)"
                  R"("prefill_backlog_tokens":0,"closing":false,)"
                  R"("models":[{"model":"m","version":"1"}]})";
      return exchange->Respond(std::move(load));
    }
    if (request.path != "/v1/completions") {
      http::Response none;
      none.status = 404;
      return exchange->Respond(std::move(none));
    }
    const auto body = nlohmann::json::parse(request.body);
    http::Response head;
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    Stream stream{exchange, body.at("max_tokens"), 0};
    if (body.at("prompt") == "first") {
      stream.left = 1;
      Token(stream);
      return End(stream);
    }
    const auto number = next_++;
    exchange->OnGone([this, number] { streams_.erase(number); });
    streams_.emplace(number, std::move(stream));
  }

  void Token(Stream& stream) {
    stream.exchange->Write(
        "data: {\"offset\":" + std::to_string(stream.offset) +
        ",\"text\":\"word \",\"tokens\":1}\n\n");
    stream.offset += 5;
    --stream.left;
  }

  void End(Stream& stream) {
    stream.exchange->Write(
        "data: {\"done\":true,\"offset\":" + std::to_string(stream.offset) +
        ",\"output_tokens\":1}\n\n");
    stream.exchange->End();
  }

  void Iterate() {
    for (auto at = streams_.begin(); at != streams_.end();) {
      Token(at->second);
      if (at->second.left > 0) {
        ++at;
        continue;
      }
      End(at->second);
      at = streams_.erase(at);
    }
    timer_.expires_after(kIteration);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Iterate();
    });
  }

  std::map<std::uint64_t, Stream> streams_;
  std::uint64_t next_ = 0;
  std::uint64_t load_sequence_ = 0;
  Loop loop_;
  http::Server server_;
  boost::asio::steady_timer timer_;
};

/// Callers on one thread, over connections that they keep.
class Callers {
 public:
  Callers() : client_(loop_.io()) {}

  /// Counts tokens, and calls `first` at the first one.
  std::shared_ptr<http::Call> Open(const std::string& address,
                                   const std::string& prompt,
                                   std::uint64_t tokens,
                                   const std::function<void()>& first,
                                   const std::function<void()>& end) {
    http::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.fields = {
        {"authorization", "Bearer " + kKey},
        {"x-attempt-id", "bench~1~" + std::to_string(++next_) + "~1"}};
    request.body = nlohmann::json{
        {"model", "m"},
        {"prompt", prompt},
        {"max_tokens", tokens},
        {"stream",
         true}}.dump();
    http::CallOptions options;
    options.progress_timeout = milliseconds(20'000);
    http::CallHooks hooks;
    auto begun = std::make_shared<bool>(false);
    hooks.on_body = [this, begun, first](std::string_view bytes) {
      std::uint64_t count = 0;
      for (auto at = bytes.find("\"text\":\"word"); at != bytes.npos;
           at = bytes.find("\"text\":\"word", at + 1)) {
        ++count;
      }
      tokens_ += count;
      if (count == 0 || *begun) return;
      *begun = true;
      if (first) first();
    };
    hooks.on_end = [this, end](http::CallEnd call_end) {
      if (call_end.code != Errc::kOk) ++failed_;
      if (end) end();
    };
    return client_.Open(address, std::move(request), options, std::move(hooks));
  }

  std::uint64_t tokens() const { return tokens_; }
  std::uint64_t failed() const { return failed_; }
  double cpu() const { return loop_.cpu(); }

 private:
  std::atomic<std::uint64_t> tokens_ = 0;
  std::atomic<std::uint64_t> failed_ = 0;
  std::uint64_t next_ = 0;
  Loop loop_;
  http::Client client_;
};

std::string ConfigText(const std::string& engine) {
  return "[environment bench]\n[account a]\nkeys = " + Sha256(kKey).value +
         "\ntokens_per_second = 1000000000\nconcurrent_tokens = 1000000000\n"
         "services = s\n[service s]\ntarget_class = c\nmodels = m@1\n"
         "[target e]\naddress = " +
         engine + "\nclass = c\nfailure_domain = d\n";
}

HostSettings Settings(const std::string& config_file) {
  HostSettings settings;
  settings.name.value = "h";
  settings.failure_domain.value = "d";
  settings.environment = "bench";
  settings.callers = settings.peers = settings.gossip = settings.admin =
      "127.0.0.1:0";
  settings.admin_key_sha256 = Sha256("none").value;
  settings.config_file = config_file;
  settings.io_threads = 1;
  return settings;
}

struct Sides {
  std::string direct;
  std::string host;
};

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Milliseconds until the first token of one short request.
double FirstToken(Callers& callers, const std::string& address) {
  std::promise<void> ended;
  std::atomic<double> took = 0;
  const auto begin = Clock::now();
  callers.Open(
      address, "first", 1,
      [&] {
        took = std::chrono::duration<double, std::milli>(Clock::now() - begin)
                   .count();
      },
      [&] { ended.set_value(); });
  ended.get_future().wait();
  return took;
}

void MeasureFirstToken(Callers& callers, const Sides& sides, const char* what) {
  std::vector<double> direct;
  std::vector<double> host;
  for (int i = 0; i < kRounds; ++i) {
    direct.push_back(FirstToken(callers, sides.direct));
    host.push_back(FirstToken(callers, sides.host));
  }
  std::printf(
      "first token, %s: direct %.3f ms, through the host %.3f ms, added %.3f "
      "ms (medians of %d)\n",
      what, Median(direct), Median(host), Median(host) - Median(direct),
      kRounds);
}

void MeasureRelay(Callers& callers, Source& source, const Sides& sides,
                  int streams, std::chrono::seconds time) {
  std::vector<std::shared_ptr<http::Call>> calls;
  for (int i = 0; i < streams; ++i) {
    calls.push_back(
        callers.Open(sides.host, "flow", kFlowTokens, nullptr, nullptr));
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto cpu = [&] {
    return Seconds(CLOCK_PROCESS_CPUTIME_ID) - source.cpu() - callers.cpu();
  };
  const double cpu_before = cpu();
  const auto tokens_before = callers.tokens();
  const auto begin = Clock::now();
  std::this_thread::sleep_for(time);
  const double wall =
      std::chrono::duration<double>(Clock::now() - begin).count();
  const auto tokens = static_cast<double>(callers.tokens() - tokens_before);
  const double used = cpu() - cpu_before;
  std::printf(
      "relay, %d streams: %.0f tokens/s arrived, %.2f cores used by the host, "
      "%.0f tokens for a second of one core\n",
      streams, tokens / wall, used / wall, tokens / used);
  MeasureFirstToken(callers, sides, "beside the streams");
  for (const auto& call : calls) call->Cancel();
}

std::size_t HeapInUse() { return mallinfo2().uordblks; }

/// Heap that `streams` open streams take, in bytes for one.
double HeapOfStreams(Callers& callers, const std::string& address,
                     int streams) {
  const auto before = HeapInUse();
  std::atomic<int> begun = 0;
  std::vector<std::shared_ptr<http::Call>> calls;
  for (int i = 0; i < streams; ++i) {
    calls.push_back(callers.Open(
        address, "flow", kFlowTokens, [&begun] { ++begun; }, nullptr));
  }
  while (begun < streams && callers.failed() == 0)
    std::this_thread::sleep_for(milliseconds(5));
  const auto after = HeapInUse();
  for (const auto& call : calls) call->Cancel();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  return (static_cast<double>(after) - static_cast<double>(before)) / streams;
}

void MeasureMemory(Callers& callers, const Sides& sides, int streams) {
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double direct = HeapOfStreams(callers, sides.direct, streams);
  const double host = HeapOfStreams(callers, sides.host, streams);
  std::printf(
      "memory, %d streams: direct %.1f KB a stream, with the host %.1f KB, so "
      "the host %.1f KB\n",
      streams, direct / 1024, host / 1024, (host - direct) / 1024);
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Cost of a host between callers and an engine", ' ',
                      "0.1.0");
  TCLAP::ValueArg<int> streams("", "streams", "Open streams", false, 200, "N",
                               line);
  TCLAP::ValueArg<int> seconds("", "seconds", "Time of the relay", false, 5,
                               "S", line);
  line.parse(argc, argv);
  Source source;
  const auto file = std::filesystem::temp_directory_path() /
                    ("comfreyflow-bench-" + std::to_string(getpid()));
  std::ofstream(file) << ConfigText(source.address());
  node::Node host({Settings(file.string()), std::string(32, 'k'), [](int) {}});
  const auto error = host.Start();
  std::filesystem::remove(file);
  if (error) {
    std::fprintf(stderr, "start: %s\n", error.message().c_str());
    return 1;
  }
  Callers callers;
  const Sides sides{source.address(),
                    "127.0.0.1:" + std::to_string(host.ports().callers)};
  std::this_thread::sleep_for(std::chrono::seconds(1));
  MeasureFirstToken(callers, sides, "idle");
  MeasureRelay(callers, source, sides, streams.getValue(),
               std::chrono::seconds(seconds.getValue()));
  MeasureMemory(callers, sides, streams.getValue());
  std::printf("failed calls: %llu\n",
              static_cast<unsigned long long>(callers.failed()));
  return callers.failed() == 0 ? 0 : 1;
}
