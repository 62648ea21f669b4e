//===- Platform.h - What the platform gives ---------------------*- C++ -*-===//
//
// Interfaces to the platform's transactional table, object store, VM list and
// weight store. Tests put mocks behind them; processes use HttpPlatform.
//
// All calls are asynchronous: the callback runs on a platform thread, exactly
// once: within the call's timeout for single rows and writes, and within that
// silence of the platform for what may be large. No call is ever made for a
// single request of a caller.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::platform {

/// A row of the table. Versions grow by one with each write; 0 means absent.
struct Row {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
  /// Rises when the store comes back from a copy, and versions begin to be
  /// given out again; 0 for a store that never does.
  uint64_t Era = 0;
};

/// The row must have exactly this version when the transaction commits.
struct Condition {
  std::string Key;
  uint64_t Version = 0;
};

struct Write {
  std::string Key;
  /// Absent: the row is removed.
  std::optional<std::string> Value;
};

/// All conditions hold and all writes happen, or nothing happens.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
};

template <typename T> using Callback = std::function<void(Result<T>)>;

class Table {
public:
  virtual ~Table() = default;
  /// An absent row comes back with Version 0. Error: StoreUnavailable.
  virtual void read(std::string Key, Callback<Row> Done) = 0;
  /// Rows whose key begins with \p Prefix and is greater than \p After, in key
  /// order, at most \p Limit.
  virtual void readRange(std::string Prefix, std::string After, size_t Limit,
                         Callback<std::vector<Row>> Done) = 0;
  /// Errors: StoreConflict (a condition failed, nothing was written),
  /// StoreUnavailable (nothing was written), StoreOutcomeUnknown (the answer
  /// was lost; the writes may have happened).
  virtual void commit(Transaction What, Callback<std::monostate> Done) = 0;
};

class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual void put(std::string Name, std::string Body,
                   Callback<std::monostate> Done) = 0;
  virtual void get(std::string Name, Callback<std::string> Done) = 0;
};

enum class VmState { Live, Leaving, Gone };
enum class VmKind { Entry, Target };

/// One line of the platform's list, which lags behind the truth.
struct Vm {
  std::string Id;
  VmKind Kind = VmKind::Target;
  /// Tag that names the back end of a target; empty for an entry.
  std::string BackEnd;
  std::string Zone;
  std::string Region;
  /// Where the figlift process of the VM listens for its peers.
  Endpoint Peer;
  VmState State = VmState::Live;
};

class VmList {
public:
  virtual ~VmList() = default;
  virtual void list(Callback<std::vector<Vm>> Done) = 0;
};

} // namespace figlift::platform
