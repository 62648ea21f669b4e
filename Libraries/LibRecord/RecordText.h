//===- RecordText.h - Original text of submitted records --------*- C++ -*-===//
//
// Operators' records are stored exactly as submitted, including comments. A
// file may contain one record or an array of records; splitRecords() returns
// the unchanged text of each record.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace figlift::record {

/// Maximum size of a file of records.
inline constexpr size_t MaximumTextBytes = 1u << 20;
/// Maximum nesting depth of JSON values in a record.
inline constexpr int MaximumNesting = 16;

/// One record of a file.
struct RecordText {
  std::string Text;
  /// Line of the file on which Text begins, counted from 1.
  unsigned FirstLine = 1;
};

/// Splits a file into its records. The error has code RecordInvalid and names
/// the line of a syntax error, or the duplicate member.
Result<std::vector<RecordText>> splitRecords(std::string_view File);

} // namespace figlift::record
