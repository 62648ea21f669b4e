//===- TableStore.h - Transactional table in memory -------------*- C++ -*-===//
//
// Rows with versions, read by key or range, written by conditional commits.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Duration.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace figlift::standin {

class TableStore {
public:
  /// {"key","version","value"}; version 0 when the row is absent.
  Json read(const std::string &Key) const;
  /// Rows in key order, each as read() gives it.
  Json range(const std::string &Prefix, const std::string &After,
             size_t Limit) const;
  /// Applies \p Transaction whole, or returns the key whose condition failed.
  std::optional<std::string> commit(const Json &Transaction);

private:
  struct Row {
    /// Goes on counting over a deletion, so that a condition on an earlier
    /// life of the row never holds again.
    uint64_t Version = 0;
    std::string Value;
    bool Present = false;
  };

  Json describe(const std::string &Key, const Row &Found) const;

  mutable std::mutex m_Mutex;
  std::map<std::string, Row> m_Rows;
};

} // namespace figlift::standin
