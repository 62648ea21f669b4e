//===- ListenerExchange.h - Exchange over a cpprestsdk request --*- C++ -*-===//
//
// Internal to this library.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibHttp/Exchange.h"

#include <cpprest/http_msg.h>

#include <atomic>
#include <memory>

namespace figlift::http {

/// What the exchanges of one server have in common; outlives the server while
/// an answer is still being written.
struct ExchangeShared {
  std::atomic<size_t> InFlight{0};
  size_t MaximumQueuedBytesPerStream = 0;
};

class ListenerExchange final
    : public Exchange,
      public std::enable_shared_from_this<ListenerExchange> {
public:
  ListenerExchange(std::shared_ptr<ExchangeShared> Shared,
                   web::http::http_request Incoming);
  ~ListenerExchange() override;

  const Request &request() const override { return m_Request; }
  void setRequestId(std::string Id) override { m_RequestId = std::move(Id); }
  void addHeader(std::string Name, std::string Value) override {
    m_Headers.emplace_back(std::move(Name), std::move(Value));
  }
  void reply(Response Answer) override;
  void replyProblem(const Error &What) override;
  std::shared_ptr<EventStream> startEvents(HeaderList Headers,
                                           std::function<void()> Gone) override;

  /// Counts this request until its answer has ended; returns the new count.
  size_t countInFlight();
  void replyUnknownPath(bool PathKnown);
  /// Reads the body, then calls \p Handle; answers InputTooLarge itself.
  void readBody(size_t MaximumBytes, const Handler &Handle);

private:
  void readMore(size_t MaximumBytes, const Handler &Handle);
  void refuseTooLarge(size_t MaximumBytes);
  void handle(const Handler &Handle);
  web::http::http_response prepare(int Status, const HeaderList &Headers);
  void send(web::http::http_response Answer, std::function<void()> Failed);

  std::shared_ptr<ExchangeShared> m_Shared;
  web::http::http_request m_Incoming;
  Request m_Request;
  std::string m_RequestId;
  HeaderList m_Headers;
  std::atomic<bool> m_Answered{false};
  bool m_Counted = false;
};

} // namespace figlift::http
