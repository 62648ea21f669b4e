//===- TextServer.cpp - HTTP server for short texts -----------------------===//
//
// See TextServer.h.
//
//===----------------------------------------------------------------------===//

#include "TextServer.h"

#include "LibLog/Guard.h"

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

Result<tcp::acceptor> openListener(asio::io_context &Loop,
                                   const Endpoint &Address,
                                   const std::string &Field) {
  tcp::acceptor Acceptor(Loop);
  boost::system::error_code Code;
  const auto Host = asio::ip::make_address_v4(Address.Address, Code);
  if (!Code)
    Acceptor.open(tcp::v4(), Code);
  if (!Code)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind({Host, Address.Port}, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return failure(ResultCode::SettingsInvalid,
                   "cannot listen at " + Address.toString() + ": " +
                       Code.message(),
                   Field);
  return Acceptor;
}

TextServer::TextServer(asio::io_context &Loop, Handler Handle)
    : m_Loop(Loop), m_Acceptor(Loop), m_AcceptTimer(Loop),
      m_Handler(std::move(Handle)) {}

Result<void> TextServer::start(const Endpoint &Address,
                               const std::string &Field) {
  auto Acceptor = openListener(m_Loop, Address, Field);
  if (!Acceptor)
    return outcome::failure(Acceptor.error());
  m_Acceptor = std::move(Acceptor.value());
  accept();
  return success();
}

void TextServer::stop() {
  boost::system::error_code Ignored; // The listener is closed in any case.
  m_Acceptor.close(Ignored);
  m_AcceptTimer.cancel();
}

void TextServer::accept() {
  m_Acceptor.async_accept(
      [this](const boost::system::error_code &Code, tcp::socket Socket) {
        if (Code == asio::error::operation_aborted)
          return;
        if (Code)
          return acceptLater();
        log::guarded("new connection", {}, [&] {
          std::make_shared<proxy::CallerConnection>(std::move(Socket), *this)
              ->start();
        });
        accept();
      });
}

/// Without a free file descriptor the next accept fails at once, too.
void TextServer::acceptLater() {
  m_AcceptTimer.expires_after(AcceptPause);
  m_AcceptTimer.async_wait([this](const boost::system::error_code &Stopped) {
    if (!Stopped)
      accept();
  });
}

std::shared_ptr<proxy::ActiveRequest>
TextServer::handle(proxy::Request Request,
                   std::shared_ptr<proxy::CallerConnection> Caller) {
  Answer Response = m_Handler(Request.Head);
  proxy::ResponseHead Head;
  Head.Status = Response.Status;
  Head.Headers.add("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
  Caller->respond(Head, Response.Text);
  return nullptr;
}

} // namespace figlift::gateway
