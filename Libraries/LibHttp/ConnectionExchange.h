//===- ConnectionExchange.h - Exchange over a connection --------*- C++ -*-===//
//
// Internal to this library.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibHttp/CallerLink.h"
#include "LibHttp/Exchange.h"

#include <atomic>
#include <memory>

namespace figlift::http {

class ConnectionExchange final
    : public Exchange,
      public std::enable_shared_from_this<ConnectionExchange> {
public:
  ConnectionExchange(std::shared_ptr<CallerLink> Caller,
                     proxy::Request Incoming);
  ~ConnectionExchange() override;

  const Request &request() const override { return m_Request; }
  void setRequestId(std::string Id) override { m_RequestId = std::move(Id); }
  void addHeader(std::string Name, std::string Value) override {
    m_Headers.emplace_back(std::move(Name), std::move(Value));
  }
  void reply(Response Answer) override;
  void replyProblem(const Error &What) override;
  std::shared_ptr<EventStream> startEvents(HeaderList Headers,
                                           std::function<void()> Gone) override;

  void replyUnknownPath(bool PathKnown);
  /// Calls \p Handle; an exception of it is answered as Internal.
  void handle(const Handler &Handle);

private:
  proxy::ResponseHead prepare(int Status, const std::string &ContentType,
                              const HeaderList &Headers) const;

  std::shared_ptr<CallerLink> m_Caller;
  Request m_Request;
  std::string m_RequestId;
  HeaderList m_Headers;
  std::atomic<bool> m_Answered{false};
};

/// An answer of \p Answer's own fields, as a head of the connection.
proxy::ResponseHead headOf(const Response &Answer);

} // namespace figlift::http
