//===- EntryFixtures.h - Agents and callers of the entry's tests -*- C++
//-*-===//
//
// Fake agents behind real connections, and callers that keep what they were
// answered.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/Call.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figlift::test {

/// Back end "lm-desk" with model "desk", service "booking-core" whose /slots
/// may not be repeated.
config::SnapshotPointer recordsInForce();

template <typename F> bool eventually(F Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::yield();
  }
  return true;
}

/// An agent that answers Run and Resume as its script says.
class FakeAgent {
public:
  /// The stream of one Run or Resume.
  struct Asked {
    wire::Method What = wire::Method::Run;
    wire::RunRequest Run;
    wire::ResumeRequest Resume;
    std::shared_ptr<wire::Stream> Answer;
    /// Set when the entry has reset the stream, or it ended.
    std::shared_ptr<std::atomic<bool>> Ended;

    wire::RunFrame frame() const;
    void send(const wire::RunFrame &Frame) const;
    void accept() const;
    void token(uint32_t Index, const std::string &Text) const;
    void finish(uint32_t Total) const;
    void refuse(ResultCode Code) const;
    void answer(const std::string &Body) const;
  };
  using Script = std::function<void(const Asked &)>;

  explicit FakeAgent(Script Does);
  ~FakeAgent() { stop(); }
  void stop();
  const Endpoint &endpoint() const { return m_Server->endpoint(); }
  std::vector<Asked> asked() const;
  size_t count() const { return asked().size(); }

private:
  class Listener;

  std::shared_ptr<Listener> m_Listener;
  std::unique_ptr<wire::Server> m_Server;
};

/// Keeps what one caller was answered.
class FakeCaller final : public http::Exchange {
public:
  const http::Request &request() const override { return m_Request; }
  void setRequestId(std::string) override {}
  void addHeader(std::string, std::string) override {}
  void reply(http::Response Answer) override;
  void replyProblem(const Error &What) override;
  std::shared_ptr<http::EventStream>
  startEvents(http::HeaderList Headers, std::function<void()> Gone) override;

  bool answered() const { return m_Answered.load(); }
  /// An event was sent to it.
  bool begun() const { return m_Begun.load(); }
  /// The caller's connection is lost.
  void leave();

  http::Response Answer;
  std::optional<Error> Problem;
  std::vector<std::string> Events;

private:
  class Stream;

  http::Request m_Request;
  std::atomic<bool> m_Answered{false};
  std::atomic<bool> m_Begun{false};
  std::atomic<bool> m_Left{false};
  std::function<void()> m_Gone;
};

/// What an entry's calls need, with links to fake agents.
class CallBench {
public:
  CallBench();
  ~CallBench();

  /// Connects to the agent as a target that serves.
  void add(const std::string &Id, const std::string &BackEnd, FakeAgent &Agent);
  /// Makes the target the home of every slice of its back end.
  void makeHome(const std::string &Id, const std::string &BackEnd);
  void publish();
  /// What the target reports from now on, until it reports again.
  void report(const std::string &Id, const route::TargetLoad &Load) {
    m_Book.gauge(Id)->report(Load, BootClock::now());
  }
  retry::HealthTracker &health() { return m_Health; }
  std::shared_ptr<FakeCaller> call(entry::CallerRequest Request);

  entry::CallerRequest completion(uint32_t MaximumTokens,
                                  bool Streamed = false);
  entry::CallerRequest slotHold(const std::string &Key = {});

  metrics::Registry Metrics;
  entry::CallMetrics Counters{Metrics};

private:
  struct Target {
    std::string Id;
    std::string BackEnd;
    std::shared_ptr<entry::TargetLink> Link;
  };

  timeline::Timeline m_Events{{}};
  UuidGenerator m_Ids;
  retry::RetryBudget m_Budget;
  retry::HealthTracker m_Health;
  entry::WorkspaceBook m_Workspaces;
  route::Policy m_Routing{route::FigliftPolicy{}};
  retry::RetrySettings m_Retrying;
  route::InFlightTracker m_Book;
  entry::ServingStatePointer m_State;
  entry::EventLoop m_Timers;
  std::unique_ptr<wire::Client> m_Client;
  std::vector<Target> m_Targets;
  entry::ByName<idempotency::HomeDirectory> m_Homes;
  std::unique_ptr<entry::CallContext> m_Context;
};

} // namespace figlift::test
