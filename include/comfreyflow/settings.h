/// The settings of one host process. They are read from an INI file when the
/// process starts, and all problems in the file are reported at once.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "comfreyflow/ini.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct HostSettings {
  // [host]
  HostName name;
  FailureDomain failure_domain;
  std::string environment;  ///< Name of the configuration document.
  /// Accept only documents whose accounts and services were in force in the
  /// trial environment.
  bool require_proof = false;
  std::string fleet_key_file;
  std::uint32_t io_threads = 2;

  // [listen], each `ip:port`
  std::string callers;
  std::string peers;
  std::string gossip;
  std::string admin;

  // [tls], with both keys, or no such section
  std::string certificate_file;
  std::string key_file;

  // [platform]
  std::string platform;     ///< `ip:port`; empty when `config_file` is set.
  std::string config_file;  ///< Configuration document used without a platform.
  std::vector<std::string> seeds;  ///< Gossip addresses, `ip:port`.

  // [admin]
  std::string admin_key_sha256;

  // [limits]
  std::uint64_t body_bytes = 16 * 1024 * 1024;
  std::uint64_t body_memory_bytes = 512 * 1024 * 1024;
  std::uint32_t header_bytes = 16 * 1024;
  Duration receive_timeout = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
  Duration max_deadline = std::chrono::minutes(30);
  /// Maximum gap between events of a target's stream.
  Duration silence_limit = std::chrono::seconds(3);
  /// How long callers may cache an answer of `GET /v1/addresses`.
  Duration address_life = std::chrono::seconds(10);
  /// Maximum time from the start of a planned stop to the exit of the process.
  /// To be set below the time after which the supervisor kills it, 90 s with
  /// systemd's defaults.
  Duration stop_time = std::chrono::seconds(80);
};

struct HostSettingsResult {
  HostSettings settings;
  std::vector<Problem> problems;  ///< In the order of their lines.
  bool ok() const { return problems.empty(); }
};

/// Parses the text and reports every problem in it. Does not open the files
/// that the text names.
HostSettingsResult ParseHostSettings(std::string_view text);

}  // namespace comfreyflow
