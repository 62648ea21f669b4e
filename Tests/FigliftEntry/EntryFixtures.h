//===- EntryFixtures.h - Fake agents and callers ------------*- C++ -*-===//
//
// Fake agents behind real connections, and callers that record responses.
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

/// Configuration with the model back end "lm-desk", which serves "desk", and
/// the service "booking-core", whose /slots paths are not repeatable.
config::SnapshotPointer testConfiguration();

template <typename F> bool eventually(F Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::yield();
  }
  return true;
}

/// An agent that handles Run and Resume streams with a script.
class FakeAgent {
public:
  /// The stream of one Run or Resume.
  struct ReceivedCall {
    wire::Method Method = wire::Method::Run;
    wire::RunRequest Run;
    wire::ResumeRequest Resume;
    std::shared_ptr<wire::Stream> Answer;
    /// Set when the stream has ended or was reset by the entry.
    std::shared_ptr<std::atomic<bool>> Ended;

    wire::RunFrame frame() const;
    void send(const wire::RunFrame &Frame) const;
    void accept() const;
    void token(uint32_t Index, const std::string &Text) const;
    void finish(uint32_t Total) const;
    void refuse(ResultCode Code) const;
    void answer(const std::string &Body) const;
  };
  using Script = std::function<void(const ReceivedCall &)>;

  explicit FakeAgent(Script OnCall);
  ~FakeAgent() { stop(); }
  void stop();
  const Endpoint &endpoint() const { return m_Server->endpoint(); }
  std::vector<ReceivedCall> calls() const;
  size_t count() const { return calls().size(); }

private:
  class Listener;

  std::shared_ptr<Listener> m_Listener;
  std::unique_ptr<wire::Server> m_Server;
};

/// Records the response to one caller.
class FakeCaller final : public http::Exchange {
public:
  const http::Request &request() const override { return m_Request; }
  void setRequestId(std::string) override {}
  void addHeader(std::string, std::string) override {}
  void reply(http::Response Answer) override;
  void replyProblem(const Error &Failure) override;
  std::shared_ptr<http::EventStream>
  startEventStream(http::HeaderList Headers,
                   std::function<void()> OnDisconnect) override;

  bool answered() const { return m_Answered.load(); }
  /// Whether an event has been received.
  bool hasEvents() const { return m_HasEvents.load(); }
  /// Simulates the loss of the caller's connection.
  void disconnect();

  http::Response Answer;
  std::optional<Error> Problem;
  std::vector<std::string> Events;

private:
  class Stream;

  http::Request m_Request;
  std::atomic<bool> m_Answered{false};
  std::atomic<bool> m_HasEvents{false};
  std::atomic<bool> m_IsDisconnected{false};
  std::function<void()> m_OnDisconnect;
};

/// Provides the context that calls need, with links to fake agents.
class CallFixture {
public:
  CallFixture();
  ~CallFixture();

  /// Connects to the agent and adds it as a serving target.
  void add(const std::string &Id, const std::string &BackEnd, FakeAgent &Agent);
  /// Makes the target the home of every slice of its back end.
  void makeHome(const std::string &Id, const std::string &BackEnd);
  void publish();
  /// Sets the load reported by the target until its next report.
  void report(const std::string &Id, const route::TargetLoad &Load) {
    m_InFlight.gauge(Id)->report(Load, BootClock::now());
  }
  retry::HealthTracker &health() { return m_Health; }
  std::shared_ptr<FakeCaller> call(entry::CallerRequest Request);

  entry::CallerRequest completion(uint32_t MaximumTokens,
                                  bool Streamed = false);
  entry::CallerRequest slotReservation(const std::string &Key = {});

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
  entry::WorkspaceTracker m_Workspaces;
  route::Policy m_Routing{route::FigliftPolicy{}};
  retry::RetrySettings m_RetryOptions;
  route::InFlightTracker m_InFlight;
  entry::ServingStatePointer m_State;
  entry::EventLoop m_Timers;
  std::unique_ptr<wire::Client> m_Client;
  std::vector<Target> m_Targets;
  entry::ByName<idempotency::HomeDirectory> m_Homes;
  std::unique_ptr<entry::CallContext> m_Context;
};

} // namespace figlift::test
