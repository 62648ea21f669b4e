//===- Server.cpp - HTTP listener with routes -----------------------------===//
//
// See Server.h. The listener takes every path; this file finds the route,
// reads the body within its limit and calls the handler.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/Server.h"

#include "LibHttp/ListenerExchange.h"

#include <cpprest/http_listener.h>

#include <algorithm>
#include <utility>

namespace figlift::http {

namespace {

using web::http::http_request;
using web::http::experimental::listener::http_listener;

class ListenerServer final : public Server {
public:
  ListenerServer(const ServerOptions &Options, std::vector<Route> Routes)
      : m_Options(Options), m_Routes(std::move(Routes)),
        m_Shared(std::make_shared<ExchangeShared>()),
        m_Listener("http://" + Options.Listen.toString() + "/") {
    m_Shared->MaximumQueuedBytesPerStream = Options.MaximumQueuedBytesPerStream;
    // A longer path first: the first route that matches is the longest.
    std::stable_sort(m_Routes.begin(), m_Routes.end(),
                     [](const Route &A, const Route &B) {
                       return A.Path.size() > B.Path.size();
                     });
    m_Listener.support([this](http_request Incoming) { receive(Incoming); });
  }

  ~ListenerServer() override { stop(); }

  Result<void> open() {
    try {
      m_Listener.open().wait();
      m_Open = true;
      return success();
    } catch (const std::exception &Problem) {
      return failure(ResultCode::SettingsInvalid,
                     "cannot listen on " + m_Options.Listen.toString() + ": " +
                         Problem.what());
    }
  }

  void drain() override { m_Draining.store(true); }
  size_t requestsInFlight() const override { return m_Shared->InFlight.load(); }

  void stop() override {
    if (!m_Open.exchange(false))
      return;
    try {
      m_Listener.close().wait();
    } catch (const std::exception &) {
      // The listener is gone in either case; there is nobody to tell.
    }
  }

private:
  const Route *find(const Request &Asked, bool &PathKnown) const {
    for (const Route &Candidate : m_Routes) {
      const bool Matches = Candidate.Prefix
                               ? Asked.Path.starts_with(Candidate.Path)
                               : Asked.Path == Candidate.Path;
      PathKnown = PathKnown || Matches;
      if (Matches &&
          (Candidate.Method == Asked.Method || Candidate.Method == AnyMethod))
        return &Candidate;
    }
    return nullptr;
  }

  void receive(const http_request &Incoming) {
    auto Call = std::make_shared<ListenerExchange>(m_Shared, Incoming);
    bool PathKnown = false;
    const Route *Found = find(Call->request(), PathKnown);
    if (!Found)
      return Call->replyUnknownPath(PathKnown);
    if (!Found->Administrative && !admit(*Call))
      return;
    Call->readBody(m_Options.MaximumBodyBytes, Found->Handle);
  }

  bool admit(ListenerExchange &Call) {
    Error Refusal;
    Refusal.RetryAfter = m_Options.RetryAfter;
    if (m_Draining.load()) {
      Refusal.Code = ResultCode::Draining;
      Refusal.Message = "this entry is leaving; ask another";
      Call.replyProblem(Refusal);
      return false;
    }
    if (Call.countInFlight() > m_Options.MaximumRequests) {
      Refusal.Code = ResultCode::LimitReached;
      Refusal.Message = "too many requests in flight at this entry";
      Call.replyProblem(Refusal);
      return false;
    }
    return true;
  }

  const ServerOptions m_Options;
  std::vector<Route> m_Routes;
  std::shared_ptr<ExchangeShared> m_Shared;
  http_listener m_Listener;
  std::atomic<bool> m_Open{false};
  std::atomic<bool> m_Draining{false};
};

} // namespace

Result<std::unique_ptr<Server>> Server::create(const ServerOptions &Options,
                                               std::vector<Route> Routes) {
  auto Made = std::make_unique<ListenerServer>(Options, std::move(Routes));
  FIGLIFT_TRY(Made->open());
  return std::unique_ptr<Server>(std::move(Made));
}

} // namespace figlift::http
