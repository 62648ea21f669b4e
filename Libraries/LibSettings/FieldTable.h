//===- FieldTable.h - Table-driven settings ---------------------*- C++ -*-===//
//
// Has one row per field of a settings file. The same rows read and validate the
// file, print the active settings and generate the documentation, which keeps
// the three consistent.
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

/// Pointer to a field's value; its type is the field's type.
using ValueReference =
    std::variant<std::string *, Endpoint *, std::vector<Endpoint> *,
                 std::chrono::milliseconds *, ByteSize *, unsigned *,
                 log::Format *, log::Level *, TargetType *, bool *, double *,
                 PlainSeconds *, PlainMilliseconds *>;

enum class Presence { Required, Optional };

/// Minimum and maximum in milliseconds, bytes or plain numbers, depending on
/// the field's type (PlainSeconds: seconds). Not used for other types.
struct Range {
  uint64_t Minimum = 0;
  uint64_t Maximum = 0;
};

struct FieldRow {
  /// Such as "limits.requestBytes".
  std::string_view Path;
  ValueReference Value;
  Presence FieldPresence = Presence::Optional;
  Range Allowed;
  std::string_view Meaning;
};

using FieldTable = std::vector<FieldRow>;

/// Field table of a settings object. The rows point into the object, whose
/// initial values are the defaults.
FieldTable fieldTable(EntrySettings &Settings);
FieldTable fieldTable(AgentSettings &Settings);
FieldTable fieldTable(GatewaySettings &Settings);

/// Parses JSON with comments into the objects that the rows point to.
Result<void> readFields(const FieldTable &Rows, std::string_view Json);

/// All fields with their values as JSON.
std::string printFields(const FieldTable &Rows);

/// A Markdown table of the rows.
std::string describeFields(const FieldTable &Rows);

} // namespace figlift::settings
