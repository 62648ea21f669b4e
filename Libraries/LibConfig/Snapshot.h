//===- Snapshot.h - The configuration at one revision -----------*- C++ -*-===//
//
// An immutable view of all parsed records for the request path. A new revision
// is a new snapshot that shares the unchanged parsed records.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Delta.h"
#include "LibRecord/Record.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figlift::config {

class Snapshot;
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// A record with its parsed form.
struct SnapshotRecord {
  StoredRecord Stored;
  /// Null if withdrawn. If this build cannot parse the stored text because a
  /// newer build wrote it, the last state that it could parse.
  std::shared_ptr<const record::Record> Parsed;
  /// Why the stored text could not be parsed; empty if it could.
  std::string Unreadable;
};

class Snapshot {
public:
  /// The configuration before the first record.
  static SnapshotPointer empty();

  /// The snapshot after \p Changes. Null if they do not go beyond this revision
  /// or if their base is above it (a gap); such a delta must not be applied.
  SnapshotPointer apply(const Delta &Changes) const;

  /// All changes after \p Revision; the whole configuration if it is 0.
  Delta diffSince(uint64_t Revision) const;

  uint64_t revision() const { return m_Revision; }

  /// Null if the record does not exist or is withdrawn.
  const record::BackEnd *backEnd(std::string_view Name) const;
  const record::Workspace *workspace(std::string_view Name) const;
  /// Serve if the target has no record or its record is withdrawn.
  record::TargetIntent targetIntent(std::string_view VmId) const;

  /// The stored record, also if it is withdrawn; null if it never existed.
  const SnapshotRecord *find(std::string_view Kind,
                             std::string_view Name) const;
  /// Sorted by kind and name; all kinds if \p Kind is empty.
  std::vector<const SnapshotRecord *> list(std::string_view Kind = {}) const;

private:
  using Key = std::pair<std::string, std::string>;

  const record::Specification *specification(std::string_view Kind,
                                             std::string_view Name) const;
  void put(const StoredRecord &Changed);

  uint64_t m_Revision = 0;
  /// Invariant: no record has a revision above m_Revision.
  std::map<Key, SnapshotRecord> m_Records;
};

} // namespace figlift::config
