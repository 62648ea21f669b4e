//===- Platform.h - Interfaces to the platform ------------------*- C++ -*-===//
//
// Interfaces to the platform's transactional table, object store and VM list.
// Processes use HttpPlatform; tests use mocks.
//
// All calls are asynchronous. The callback runs exactly once, on a platform
// thread: within the call's timeout for single rows and writes, and for
// possibly large responses at the latest after receiving no data for that time.
// No call is made for an individual caller's request.
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

/// A row of the table. Each write increments the version; 0 means absent.
struct Row {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
  /// Increases when the store is restored from a backup, after which versions
  /// are assigned again; 0 for a store without restores.
  uint64_t Era = 0;
};

/// The row must have exactly this version when the transaction commits.
struct Condition {
  std::string Key;
  uint64_t Version = 0;
};

struct Write {
  std::string Key;
  /// Nothing to delete the row.
  std::optional<std::string> Value;
};

/// Atomic: all writes are executed if all conditions hold, otherwise none.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
};

template <typename T> using Callback = std::function<void(Result<T>)>;

class Table {
public:
  virtual ~Table() = default;
  /// An absent row is returned with Version 0. Error: StoreUnavailable.
  virtual void read(std::string Key, Callback<Row> Done) = 0;
  /// At most \p Limit rows, in key order, whose key starts with \p Prefix and
  /// is greater than \p After.
  virtual void readRange(std::string Prefix, std::string After, size_t Limit,
                         Callback<std::vector<Row>> Done) = 0;
  /// Errors: StoreConflict (a condition failed, nothing was written),
  /// StoreUnavailable (nothing was written), StoreOutcomeUnknown (the response
  /// was lost; the writes may have been executed).
  virtual void commit(Transaction Changes, Callback<std::monostate> Done) = 0;
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

/// An entry of the platform's VM list, which may be out of date.
struct Vm {
  std::string Id;
  VmKind Kind = VmKind::Target;
  /// Back end of a target, from a tag of the VM; empty for an entry.
  std::string BackEnd;
  std::string Zone;
  std::string Region;
  /// Where the VM's figlift process listens for peers.
  Endpoint Peer;
  VmState State = VmState::Live;
};

class VmList {
public:
  virtual ~VmList() = default;
  virtual void list(Callback<std::vector<Vm>> Done) = 0;
};

} // namespace figlift::platform
