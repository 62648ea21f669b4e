//===- FieldTable.h - Table-driven reading of settings ----------*- C++ -*-===//
//
// One row for each field of a settings file. The same rows read and check the
// file, print what is in force and write the documentation, so that the three
// cannot disagree.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibSettings/GatewaySettings.h"
#include "LibSettings/Settings.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::settings {

/// Where a field's value is kept, which also is its type.
using ValueReference =
    std::variant<std::string *, Endpoint *, std::vector<Endpoint> *,
                 std::chrono::milliseconds *, ByteSize *, unsigned *,
                 log::Format *, log::Level *, TargetType *, bool *, double *,
                 PlainSeconds *, PlainMilliseconds *>;

enum class Presence { Required, Optional };

/// Smallest and greatest value: milliseconds, bytes or a plain number by the
/// field's type (PlainSeconds: seconds). Not used for the other types.
struct Range {
  uint64_t Minimum = 0;
  uint64_t Maximum = 0;
};

struct FieldRow {
  /// "limits.requestBytes".
  std::string_view Path;
  ValueReference Value;
  Presence Wanted = Presence::Optional;
  Range Allowed;
  std::string_view Meaning;
};

using FieldTable = std::vector<FieldRow>;

/// The rows of a settings object. They point into it, so its initial values
/// are the defaults.
FieldTable fieldsOf(EntrySettings &Of);
FieldTable fieldsOf(AgentSettings &Of);
FieldTable fieldsOf(GatewaySettings &Of);

/// Reads JSON with comments into the objects that the rows point to.
Result<void> readFields(const FieldTable &Rows, std::string_view Json);

/// All fields with their values as JSON.
std::string printFields(const FieldTable &Rows);

/// A Markdown table of the rows.
std::string documentFields(const FieldTable &Rows);

} // namespace figlift::settings
