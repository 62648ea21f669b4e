//===- OperatorService.h - The operator API ---------------------*- C++ -*-===//
//
// Handles the HTTP requests under /operator/v1/. The entry forwards them to
// this service and sends the responses.
//
//   POST   /operator/v1/records        {"operationId","records":[text...],
//                                       "ifVersion"?}
//   GET    /operator/v1/records[/KIND[/NAME]]      ?withdrawn=1
//   DELETE /operator/v1/records/KIND/NAME          ?operationId=&ifVersion=
//   POST   /operator/v1/targets/ID/drain|undrain|retire   ?operationId=
//   GET    /operator/v1/status
//   GET    /operator/v1/explain/ID
//
// Reads are handled at once from this entry's current snapshot. Writes block,
// so they wait in a bounded queue for a thread of their own.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/ConfigWriter.h"
#include "LibConfig/Snapshot.h"
#include "LibConfig/StatusProvider.h"
#include "LibCore/Ids.h"
#include "LibHttp/Message.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string_view>
#include <thread>

namespace figlift::config {

/// Prefix of the paths that handle() serves.
inline constexpr std::string_view OperatorPathPrefix = "/operator/v1/";

struct OperatorOptions {
  WriterOptions Writer;
  size_t MaximumQueuedWrites = 32;
  size_t MaximumRecordsPerOperation = 64;
};

/// Dependencies of the service.
struct OperatorContext {
  platform::Table &Table;
  const StatusProvider &Status;
  /// The current snapshot, or null.
  std::function<SnapshotPointer()> Current;
  /// Why this entry rejects new work, or empty.
  std::function<std::string()> NotServingReason;
  /// Called after a commit; see ConfigService::onCommitted().
  std::function<void(const ChangeOutcome &)> OnCommitted;
  /// Requests a target's agent directly to drain, or to serve again if \p Undo,
  /// without a record. Returns false if the agent is not reachable from this
  /// entry.
  std::function<bool(const std::string &Target, bool Undo)> RequestDrain =
      [](const std::string &, bool) { return false; };
};

class OperatorService {
public:
  using Reply = std::function<void(http::Response)>;

  OperatorService(OperatorContext Context, OperatorOptions Options = {});
  /// Waits for the current write; queued writes are rejected.
  ~OperatorService();

  /// Calls \p Done exactly once, on the calling thread or on the service's.
  void handle(const http::Request &Request, Reply Done);

private:
  /// A requested drain or undrain of one target.
  struct TargetRequest {
    std::string Target;
    bool Undrain = false;
  };
  struct Job {
    ChangeRequest Request;
    Reply Done;
    /// Empty if the change is of other records.
    std::optional<TargetRequest> Target;
  };
  using Segments = std::vector<std::string>;

  http::Response getRecords(const Segments &Path,
                            const http::Request &Request) const;
  http::Response getStatus() const;
  http::Response getExplanation(const std::string &Id) const;

  Result<ChangeRequest> parseSubmission(const http::Request &Request);
  Result<ChangeRequest> parseWithdrawal(const Segments &Path,
                                        const http::Request &Request);
  Result<ChangeRequest> parseTargetRequest(const Segments &Path,
                                           const http::Request &Request);
  Result<std::string> parseOperationId(const std::string &Text);
  Result<void> addRecords(const std::string &File, ChangeRequest &Output) const;
  Result<void> checkTargetExists(const std::string &Target) const;

  void enqueue(Result<ChangeRequest> Request, Reply Done,
               std::optional<TargetRequest> Target = std::nullopt);
  Error requestDirectly(Error Cause, const TargetRequest &Request) const;
  void run();
  void perform(Job Next);

  const OperatorContext m_Context;
  const OperatorOptions m_Options;
  UuidGenerator m_Ids;

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<Job> m_Queue;
  bool m_Stopped = false;
  std::thread m_Thread;
};

} // namespace figlift::config
