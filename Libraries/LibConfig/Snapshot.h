//===- Snapshot.h - The configuration at one revision -----------*- C++ -*-===//
//
// An immutable view of all records, parsed. Request paths read it; a new
// revision is a new snapshot that shares the unchanged records.
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
struct Item {
  Entry Stored;
  /// Null when withdrawn. When the stored text can't be read by this build
  /// (a newer one wrote it), the last form that could.
  std::shared_ptr<const record::Record> Parsed;
  /// Why the stored text could not be read; empty when it could.
  std::string Unreadable;
};

class Snapshot {
public:
  /// The configuration before the first record.
  static SnapshotPointer empty();

  /// The snapshot after \p Changes. Null when they don't reach beyond this
  /// revision, or begin after it (a gap): then they must not be applied.
  SnapshotPointer with(const Delta &Changes) const;

  /// Everything that changed after \p Revision; all of it for revision 0.
  Delta diffSince(uint64_t Revision) const;

  uint64_t revision() const { return m_Revision; }

  /// Null when there is none or it is withdrawn.
  const record::BackEnd *backEnd(std::string_view Name) const;
  const record::Workspace *workspace(std::string_view Name) const;
  /// Serve unless an operator says otherwise.
  record::TargetIntent targetIntent(std::string_view VmId) const;

  /// The stored record, withdrawn or not; null when there never was one.
  const Item *find(std::string_view Kind, std::string_view Name) const;
  /// In the order of kind and name; \p Kind empty: all.
  std::vector<const Item *> list(std::string_view Kind = {}) const;

private:
  using Key = std::pair<std::string, std::string>;

  const record::Specification *specification(std::string_view Kind,
                                             std::string_view Name) const;
  void put(const Entry &Changed);

  uint64_t m_Revision = 0;
  /// Invariant: no entry has a revision above m_Revision.
  std::map<Key, Item> m_Items;
};

} // namespace figlift::config
