// The default wire format of the object API.
#include <nlohmann/json.hpp>

#include "platform/object-api.h"

namespace comfreyflow {
namespace {

using Json = nlohmann::json;

using http::PercentEncode;

/// The body of a write; empty if the value is not valid UTF-8.
std::string ValueBody(const std::string& value) {
  try {
    return Json{{"value", value}}.dump();
  } catch (const Json::exception&) {
    return "";
  }
}

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return "/objects/" + PercentEncode(kind) + '/' + PercentEncode(name);
}

http::Request MakeRequest(const char* method, std::string path) {
  http::Request request;
  request.method = method;
  request.path = std::move(path);
  return request;
}

http::Request Put(const std::string& kind, const std::string& name,
                  http::Field condition, const std::string& value) {
  http::Request request = MakeRequest("PUT", ObjectPath(kind, name));
  request.fields = {std::move(condition)};
  request.body = ValueBody(value);
  return request;
}

http::Request Create(const std::string& kind, const std::string& name,
                     const std::string& value) {
  return Put(kind, name, {"if-none-match", "*"}, value);
}

http::Request Update(const std::string& kind, const std::string& name,
                     std::uint64_t version, const std::string& value) {
  return Put(kind, name, {"if-match", std::to_string(version)}, value);
}

http::Request Remove(const std::string& kind, const std::string& name,
                     std::uint64_t version) {
  http::Request request = MakeRequest("DELETE", ObjectPath(kind, name));
  if (version != 0) {
    request.fields = {{"if-match", std::to_string(version)}};
  }
  return request;
}

http::Request Read(const std::string& kind, const std::string& name) {
  return MakeRequest("GET", ObjectPath(kind, name));
}

http::Request List(const ListQuery& query) {
  http::Request request =
      MakeRequest("GET", "/objects/" + PercentEncode(query.kind));
  request.query = "prefix=" + PercentEncode(query.prefix) +
                  "&from=" + PercentEncode(query.from) +
                  "&limit=" + std::to_string(query.limit);
  return request;
}

http::Request Watch(const std::string& kind, std::uint64_t since,
                    Duration timeout) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  http::Request request = MakeRequest("GET", "/watch/" + PercentEncode(kind));
  request.query = "since=" + std::to_string(since) +
                  "&timeout_ms=" + std::to_string(ms.count());
  return request;
}

PlatformObject ParseObject(const Json& item) {
  return {item.at("name"),
          {0, item.at("version")},
          item.at("value"),
          item.value("deleted", false)};
}

std::vector<PlatformObject> ParseObjects(const Json& items) {
  std::vector<PlatformObject> out;
  for (const Json& item : items) out.push_back(ParseObject(item));
  return out;
}

std::uint64_t ReadVersion(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return 0;
  const auto version = json.find("version");
  const bool is_valid = version != json.end() && version->is_number_unsigned();
  return is_valid ? version->get<std::uint64_t>() : 0;
}

void ReadObject(const std::string& body, ReadAnswer& out) {
  const Json json = Json::parse(body);
  out.object.version.revision = json.at("version");
  out.object.value = json.at("value");
}

void ReadList(const std::string& body, ListAnswer& out) {
  const Json json = Json::parse(body);
  out.version.revision = json.at("version");
  out.items = ParseObjects(json.at("items"));
}

void ReadWatch(const std::string& body, WatchAnswer& out) {
  const Json json = Json::parse(body);
  out.version.revision = json.at("version");
  out.changes = ParseObjects(json.at("changes"));
}

}  // namespace

ObjectApi DefaultObjectApi() {
  return {Create, Update,      Remove,     Read,     List,
          Watch,  ReadVersion, ReadObject, ReadList, ReadWatch};
}

}  // namespace comfreyflow
