//===- ConfigRows.h - Rows of the configuration in the table ----*- C++ -*-===//
//
// Keys and values of the head row and of the rows for records, changes and
// applied operations.
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
/// The revision is zero-padded, so that keys sort by revision.
std::string changeKey(uint64_t Revision);
std::string operationKey(std::string_view OperationId);

/// A record that a change wrote, with its new version.
struct ChangedRecord {
  std::string Kind;
  std::string Name;
  uint64_t Version = 0;

  bool operator==(const ChangedRecord &) const = default;
};

/// Content of the row of an applied operation.
struct OperationRow {
  uint64_t Revision = 0;
  /// Digest of the request, to detect an operation id that is reused for a
  /// different request.
  std::string Digest;
  std::vector<ChangedRecord> Records;
};

std::string encodeHead(uint64_t Revision);
std::string encodeRecord(const StoredRecord &Value);
std::string encodeChange(std::string_view Kind, std::string_view Name);
std::string encodeOperation(const OperationRow &Value);

/// An absent head row is revision 0. Errors: Internal for a malformed row.
Result<uint64_t> decodeHead(const platform::Row &Row);
/// An absent row is a record of version 0.
Result<StoredRecord> decodeRecord(const platform::Row &Row);
Result<std::pair<std::string, std::string>>
decodeChange(const platform::Row &Row);
Result<OperationRow> decodeOperation(const platform::Row &Row);

} // namespace figlift::config
