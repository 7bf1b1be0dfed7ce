/// Converts target marks to and from their Thrift struct, which membership and
/// placement datagrams both contain.
#pragma once

#include "comfreyflow/membership.h"
#include "wire/gen/comfreyflow_types.h"

namespace comfreyflow::wire {

inline TargetMark ToWire(const comfreyflow::TargetMark& mark) {
  TargetMark out;
  out.target = mark.target.value;
  out.version = static_cast<std::int64_t>(mark.version.revision);
  if (mark.version.era != 0)
    out.__set_era(static_cast<std::int64_t>(mark.version.era));
  if (mark.entry_born != 0)
    out.__set_entry_born(static_cast<std::int64_t>(mark.entry_born));
  if (mark.entry_report != 0)
    out.__set_entry_report(static_cast<std::int64_t>(mark.entry_report));
  out.closed = mark.closed;
  if (mark.start != 0) out.__set_start(static_cast<std::int64_t>(mark.start));
  return out;
}

inline comfreyflow::TargetMark FromWire(const TargetMark& in) {
  return {{in.target},
          {static_cast<std::uint64_t>(in.era),
           static_cast<std::uint64_t>(in.version)},
          in.closed,
          static_cast<std::uint64_t>(in.start),
          static_cast<std::uint64_t>(in.entry_born),
          static_cast<std::uint64_t>(in.entry_report)};
}

}  // namespace comfreyflow::wire
