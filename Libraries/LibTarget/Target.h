//===- Target.h - Interfaces to an agent's target ---------------*- C++ -*-===//
//
// Interfaces to a model engine or a plain service. The result of every call
// states whether the target may have run it, because a refusal may report "not
// run" only if the target did not run the call. The agent uses HttpEngine and
// HttpService; tests use mocks.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figlift::target {

/// Why a call failed, and whether the target may have run it.
struct CallError {
  /// NotRun only if the target refused the call or no connection to it was
  /// established; NotApplicable if a query got an invalid response; MayHaveRun
  /// in all other cases.
  Execution Executed = Execution::MayHaveRun;
  Error Cause;
};

template <typename T>
using CallResult =
    outcome::basic_result<T, CallError, outcome::policy::all_narrow>;

/// Called exactly once, on a thread of the HTTP pool. Must not block.
template <typename T> using CallDone = std::function<void(CallResult<T>)>;

struct CompletionCall {
  /// Unique for each attempt; identifies the sequence when it is canceled.
  std::string RequestId;
  std::string Model;
  std::string Prompt;
  uint32_t PromptTokens = 0;
  uint32_t MaximumTokens = 0;
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Number of tokens that earlier attempts delivered; the answer continues
  /// after them.
  uint32_t FirstToken = 0;
  std::string DeliveredText;
  std::string KvHandle;
  bool PrefillOnly = false;
};

struct Token {
  uint32_t Index = 0;
  std::string Text;
};

struct CompletionEnd {
  std::string FinishReason;
  uint32_t TotalTokens = 0;
  uint32_t CachedPromptTokens = 0;
  std::string KvHandle;
};

/// Receives one answer. The members are called in order and never concurrently,
/// on threads of the HTTP pool, and must not block.
class CompletionListener {
public:
  virtual ~CompletionListener() = default;
  virtual void onToken(Token NewToken) = 0;
  /// Called exactly once, after all calls of onToken().
  virtual void onEnd(CallResult<CompletionEnd> End) = 0;
};

/// A running completion.
class Completion {
public:
  virtual ~Completion() = default;
  /// Cancels the request and the engine's sequence; onEnd() is still called.
  virtual void cancel() = 0;
};

struct SetRole {
  std::string Role;
};
struct LoadModel {
  std::string Model;
  std::string Version;
  std::string Adapter;
};
struct UnloadModel {
  std::string Model;
  std::string Version;
  std::string Adapter;
};
using OrderKind = std::variant<SetRole, LoadModel, UnloadModel>;

struct OrderCall {
  std::string OrderId;
  uint64_t Epoch = 0;
  OrderKind Kind;
};

struct LoadedModel {
  std::string Name;
  std::string Version;
  std::vector<std::string> Adapters;

  bool operator==(const LoadedModel &) const = default;
};

enum class OrderState { None, Running, Done, Failed };

struct EngineState {
  std::string Role;
  std::vector<LoadedModel> Models;
  /// The last order that the engine accepted, or empty.
  std::string OrderId;
  OrderState Order = OrderState::None;
  uint64_t HighestEpoch = 0;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  /// Changes with each start of the engine.
  std::string Boot;
};

/// The engine's own report.
struct EngineLoad {
  uint64_t QueuedPrefillTokens = 0;
  uint32_t Running = 0;
  uint64_t KvFreeTokens = 0;
  /// Age of the report when it arrives.
  std::chrono::milliseconds Age{0};
};

struct CacheEvent {
  uint64_t Sequence = 0;
  /// True if the block was stored, false if it was evicted.
  bool Stored = true;
  uint64_t Hash = 0;
};

class Engine {
public:
  virtual ~Engine() = default;
  virtual std::shared_ptr<Completion>
  complete(CompletionCall Call,
           std::shared_ptr<CompletionListener> Listener) = 0;
  /// Succeeds if the engine accepted the order. Errors: StaleEpoch,
  /// OrderConflict (another order is running), OrderRejectedByTarget and
  /// TargetFailed.
  virtual void order(OrderCall Call, CallDone<std::monostate> Done) = 0;
  virtual void state(CallDone<EngineState> Done) = 0;
  virtual void load(CallDone<EngineLoad> Done) = 0;
  virtual void cacheEvents(uint64_t After,
                           CallDone<std::vector<CacheEvent>> Done) = 0;
};

struct ServiceRequest {
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Sent as the Idempotency-Key header when not empty.
  std::string IdempotencyKey;
  /// If false, the call may run at most once.
  bool Repeatable = false;
  std::chrono::milliseconds Timeout{30000};
};

struct ServiceReply {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
};

class Service {
public:
  virtual ~Service() = default;
  virtual void call(ServiceRequest Request, CallDone<ServiceReply> Done) = 0;
};

} // namespace figlift::target
