//===- OperatorService.h - The operator API ---------------------*- C++ -*-===//
//
// Answers the HTTP requests under /operator/v1/. The entry forwards them here
// and writes the answers back.
//
//   POST   /operator/v1/records        {"operationId","records":[text...],
//                                       "ifVersion"?}
//   GET    /operator/v1/records[/KIND[/NAME]]      ?withdrawn=1
//   DELETE /operator/v1/records/KIND/NAME          ?operationId=&ifVersion=
//   POST   /operator/v1/targets/ID/drain|undrain|retire   ?operationId=
//   GET    /operator/v1/status
//   GET    /operator/v1/explain/ID
//
// Reads are answered at once from the snapshot in force here. Writes wait in a
// bounded queue for one thread, because carrying one out blocks.
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

/// Beginning of every path that goes to handle().
inline constexpr std::string_view OperatorPathPrefix = "/operator/v1/";

struct OperatorOptions {
  WriterOptions Writer;
  size_t MaximumQueuedWrites = 32;
  size_t MaximumRecordsPerOperation = 64;
};

/// What the service needs of its process.
struct OperatorContext {
  platform::Table &Table;
  const StatusProvider &Status;
  /// The snapshot in force, or null.
  std::function<SnapshotPointer()> Current;
  /// Why this entry takes no new work, or empty.
  std::function<std::string()> WhyNotServing;
  /// A change was committed; see ConfigService::committed().
  std::function<void(const ChangeOutcome &)> OnCommitted;
  /// Asks a target's agent itself to drain, or to serve again when \p Undo,
  /// without a record. False when the agent can't be reached from here.
  std::function<bool(const std::string &Target, bool Undo)> AskAgentToDrain =
      [](const std::string &, bool) { return false; };
};

class OperatorService {
public:
  using Reply = std::function<void(http::Response)>;

  OperatorService(OperatorContext Context, OperatorOptions Options = {});
  /// Waits for the write at work; writes still waiting are refused.
  ~OperatorService();

  /// Calls \p Done exactly once, on this thread or on the service's.
  void handle(const http::Request &Request, Reply Done);

private:
  /// An operator's wish for one target.
  struct TargetWish {
    std::string Target;
    bool Serves = false;
  };
  struct Job {
    ChangeRequest Request;
    Reply Done;
    /// Absent: a change of other records.
    std::optional<TargetWish> Wish;
  };
  using Segments = std::vector<std::string>;

  http::Response getRecords(const Segments &Path,
                            const http::Request &Request) const;
  http::Response getStatus() const;
  http::Response getExplanation(const std::string &Id) const;

  Result<ChangeRequest> submission(const http::Request &Request);
  Result<ChangeRequest> withdrawal(const Segments &Path,
                                   const http::Request &Request);
  Result<ChangeRequest> wish(const Segments &Path,
                             const http::Request &Request);
  Result<std::string> operationIdOf(const std::string &Given);
  Result<void> addTexts(const std::string &File, ChangeRequest &Into) const;
  Result<void> checkKnown(const std::string &Target) const;

  void enqueue(Result<ChangeRequest> Request, Reply Done,
               std::optional<TargetWish> Wish = std::nullopt);
  Error carriedOutAnyway(Error Why, const TargetWish &Wish) const;
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
