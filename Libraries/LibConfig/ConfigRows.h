//===- ConfigRows.h - Rows of the configuration in the table ----*- C++ -*-===//
//
// Keys and values: the head revision, one row for each record, one for each
// change and one for each operation that was applied.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Delta.h"
#include "LibCore/Result.h"
#include "LibPlatform/Platform.h"

#include <string>
#include <string_view>
#include <vector>

namespace figlift::config {

inline constexpr std::string_view HeadKey = "config/head";
inline constexpr std::string_view RecordPrefix = "config/record/";
inline constexpr std::string_view ChangePrefix = "config/change/";

std::string recordKey(std::string_view Kind, std::string_view Name);
/// The revision is zero padded, so that keys sort by it.
std::string changeKey(uint64_t Revision);
std::string operationKey(std::string_view OperationId);

/// What a change did to one record.
struct ChangedRecord {
  std::string Kind;
  std::string Name;
  uint64_t Version = 0;

  bool operator==(const ChangedRecord &) const = default;
};

/// What an operation did, as its row keeps it.
struct OperationRow {
  uint64_t Revision = 0;
  /// Of the request, so that an id used again for another one shows.
  std::string Digest;
  std::vector<ChangedRecord> Records;
};

std::string encodeHead(uint64_t Revision);
std::string encodeEntry(const Entry &Value);
std::string encodeChange(std::string_view Kind, std::string_view Name);
std::string encodeOperation(const OperationRow &Value);

/// An absent head row is revision 0. Errors: Internal for a malformed row.
Result<uint64_t> decodeHead(const platform::Row &Row);
/// An absent row is an entry of version 0.
Result<Entry> decodeEntry(const platform::Row &Row);
Result<std::pair<std::string, std::string>>
decodeChange(const platform::Row &Row);
Result<OperationRow> decodeOperation(const platform::Row &Row);

} // namespace figlift::config
