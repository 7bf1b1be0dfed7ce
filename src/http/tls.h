/// Certificate and key of the server, read again when the files change.
#pragma once

#include <boost/asio/ssl/context.hpp>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>

namespace comfreyflow::http {

/// Safe to use from any thread.
class TlsFiles {
 public:
  TlsFiles(std::string certificate_file, std::string key_file);

  /// Reads both files when they changed since the last time. After an error
  /// the certificate of before stays in use. `changed` tells of a new one.
  std::error_code Reload(bool& changed);

  /// Null before the first `Reload` without error.
  std::shared_ptr<boost::asio::ssl::context> context() const;

 private:
  using FileTime = std::filesystem::file_time_type;
  struct Stamp {
    FileTime certificate;
    FileTime key;
    bool operator==(const Stamp&) const = default;
  };

  std::error_code ReadStamp(Stamp& out) const;

  const std::string certificate_file_;
  const std::string key_file_;
  mutable std::mutex mutex_;
  Stamp stamp_;
  std::shared_ptr<boost::asio::ssl::context> context_;
};

}  // namespace comfreyflow::http
