//===- Delta.h - Changes of the configuration -------------------*- C++ -*-===//
//
// Unit in which processes exchange the configuration: all records, or those
// that changed after a revision.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace figlift::config {

/// The stored state of one record. A withdrawn record is kept as a tombstone,
/// so that processes that are behind receive the withdrawal.
struct StoredRecord {
  std::string Kind;
  std::string Name;
  /// Number of changes of this record, starting at 1.
  uint64_t Version = 0;
  /// Revision of the configuration that wrote this state.
  uint64_t Revision = 0;
  bool Withdrawn = false;
  /// The text as submitted, including comments.
  std::string Text;

  bool operator==(const StoredRecord &) const = default;
};

struct Delta {
  /// Records contains all changes after this revision.
  uint64_t Base = 0;
  /// Last revision that Records includes.
  uint64_t Head = 0;
  /// Records is the whole configuration, and Base is unused.
  bool Full = false;
  std::vector<StoredRecord> Records;
};

} // namespace figlift::config
