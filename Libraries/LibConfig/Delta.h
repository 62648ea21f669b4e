//===- Delta.h - Changes of the configuration -------------------*- C++ -*-===//
//
// What processes tell each other about the configuration: all records, or
// those that changed after a revision.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace figlift::config {

/// The stored state of one record. A withdrawn record stays as an entry, so
/// that whoever is behind learns of the withdrawal.
struct Entry {
  std::string Kind;
  std::string Name;
  /// Count of the changes of this record, from 1.
  uint64_t Version = 0;
  /// Revision of the configuration that wrote it.
  uint64_t Revision = 0;
  bool Withdrawn = false;
  /// As submitted, comments included.
  std::string Text;

  bool operator==(const Entry &) const = default;
};

struct Delta {
  /// The entries are all that changed after this revision...
  uint64_t Base = 0;
  /// ...up to and including this one.
  uint64_t Head = 0;
  /// The entries are the whole configuration; Base means nothing.
  bool Full = false;
  std::vector<Entry> Entries;
};

} // namespace figlift::config
