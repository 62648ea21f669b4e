//===- TextServer.h - HTTP server for short texts ---------------*- C++ -*-===//
//
// Serves readiness and metrics: one handler for all requests, whatever their
// path.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibProxy/CallerConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace figlift::gateway {

/// Opens a listening socket. Fails with SettingsInvalid and \p Field.
Result<boost::asio::ip::tcp::acceptor>
openListener(boost::asio::io_context &Loop, const Endpoint &Address,
             const std::string &Field);

class TextServer : public proxy::RequestHandler {
public:
  struct Answer {
    unsigned Status = 200;
    std::string Text;
  };
  using Handler = std::function<Answer(const proxy::RequestHead &)>;

  TextServer(boost::asio::io_context &Loop, Handler Handle);

  Result<void> start(const Endpoint &Address, const std::string &Field);
  void stop();

  std::shared_ptr<proxy::ActiveRequest>
  handle(proxy::Request Request,
         std::shared_ptr<proxy::CallerConnection> Caller) override;
  proxy::ErrorResponse rejected(unsigned Status) override {
    return proxy::errorResponse(Status);
  }
  void closed(proxy::CallerConnection &) override {}

private:
  void accept();
  void acceptLater();

  /// Pause after a failed accept.
  static constexpr std::chrono::milliseconds AcceptPause{50};

  boost::asio::io_context &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  Handler m_Handler;
};

} // namespace figlift::gateway
