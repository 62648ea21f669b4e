//===- RecordText.h - Original text of submitted records --------*- C++ -*-===//
//
// Operators' records are kept as they were written, comments included. A file
// may hold one record or an array; this cuts it into the texts of the single
// records without changing a byte of them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace figlift::record {

/// Largest text of one file of records, in bytes.
inline constexpr size_t MaximumTextBytes = 1u << 20;
/// Deepest nesting of JSON values in a record.
inline constexpr int MaximumNesting = 16;

/// One record of a file.
struct RecordText {
  std::string Text;
  /// Line of the file on which Text begins, from 1.
  unsigned FirstLine = 1;
};

/// Cuts a file into its records. The error has code RecordInvalid and names
/// the line of a syntax error or of a member that is given twice.
Result<std::vector<RecordText>> splitRecords(std::string_view File);

} // namespace figlift::record
