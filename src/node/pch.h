/// Precompiled header of the `shell` library: third-party headers that are slow
/// to compile.
#pragma once

#include <glog/logging.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <system_error>
#include <vector>
