// Looks up events and renders their table.
#include "node/events.h"

namespace comfreyflow::node {
namespace {

/// Calls `visit` with each field.
template <class Visitor>
void ForEachField(std::string_view fields, Visitor visit) {
  while (!fields.empty()) {
    const auto space = fields.find(' ');
    visit(fields.substr(0, space));
    if (space == std::string_view::npos) return;
    fields.remove_prefix(space + 1);
  }
}

}  // namespace

const EventSpec& SpecOf(Event event) {
  return kEventSpecs.at(static_cast<std::size_t>(event));
}

bool HasField(const EventSpec& spec, std::string_view field) {
  bool found = false;
  ForEachField(spec.fields, [&](std::string_view f) { found |= f == field; });
  return found;
}

std::string RenderEvents() {
  std::string out = "| event | when | fields |\n|---|---|---|\n";
  for (const auto& spec : kEventSpecs) {
    out += std::string("| `") + spec.name + "` | " + spec.when + " | ";
    std::string fields;
    ForEachField(spec.fields, [&fields](std::string_view field) {
      if (!fields.empty()) fields += ", ";
      fields += '`' + std::string(field) + '`';
    });
    out += fields + " |\n";
  }
  return out;
}

}  // namespace comfreyflow::node
