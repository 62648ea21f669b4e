//===- ConnectionExchange.h - Exchange over a connection --------*- C++ -*-===//
//
// Internal to this library.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibHttp/Exchange.h"
#include "LibHttp/ResponseChannel.h"

#include <atomic>
#include <memory>

namespace figlift::http {

class ConnectionExchange final
    : public Exchange,
      public std::enable_shared_from_this<ConnectionExchange> {
public:
  ConnectionExchange(std::shared_ptr<ResponseChannel> Channel,
                     proxy::Request Incoming);
  ~ConnectionExchange() override;

  const Request &request() const override { return m_Request; }
  void setRequestId(std::string Id) override { m_RequestId = std::move(Id); }
  void addHeader(std::string Name, std::string Value) override {
    m_Headers.emplace_back(std::move(Name), std::move(Value));
  }
  void reply(Response Reply) override;
  void replyProblem(const Error &Problem) override;
  std::shared_ptr<EventStream>
  startEventStream(HeaderList Headers,
                   std::function<void()> OnDisconnect) override;

  /// Replies 405 if \p PathKnown, as only the method is wrong, else 404.
  void replyUnknownPath(bool PathKnown);
  /// Calls \p Handle; replies Internal if it throws.
  void handle(const Handler &Handle);

private:
  proxy::ResponseHead prepare(int Status, const std::string &ContentType,
                              const HeaderList &Headers) const;

  std::shared_ptr<ResponseChannel> m_Channel;
  Request m_Request;
  std::string m_RequestId;
  HeaderList m_Headers;
  std::atomic<bool> m_Responded{false};
};

/// Converts the status and the headers of \p Reply.
proxy::ResponseHead responseHead(const Response &Reply);

} // namespace figlift::http
