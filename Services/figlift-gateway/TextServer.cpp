//===- TextServer.cpp - Answers GET with a short text ---------------------===//
//
// See TextServer.h.
//
//===----------------------------------------------------------------------===//

#include "TextServer.h"

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

Result<tcp::acceptor> openListener(asio::io_context &Loop,
                                   const Endpoint &Where,
                                   const std::string &Field) {
  tcp::acceptor Opened(Loop);
  boost::system::error_code Code;
  const auto Address = asio::ip::make_address_v4(Where.Address, Code);
  if (!Code)
    Opened.open(tcp::v4(), Code);
  if (!Code)
    Opened.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Opened.bind({Address, Where.Port}, Code);
  if (!Code)
    Opened.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return failure(
        ResultCode::SettingsInvalid,
        "cannot listen at " + Where.toString() + ": " + Code.message(), Field);
  return Opened;
}

TextServer::TextServer(asio::io_context &Loop, Source Answers)
    : m_Loop(Loop), m_Acceptor(Loop), m_Answers(std::move(Answers)) {}

Result<void> TextServer::start(const Endpoint &Where,
                               const std::string &Field) {
  auto Opened = openListener(m_Loop, Where, Field);
  if (!Opened)
    return outcome::failure(Opened.error());
  m_Acceptor = std::move(Opened.value());
  accept();
  return success();
}

void TextServer::stop() {
  boost::system::error_code Ignored; // It is given up either way.
  m_Acceptor.close(Ignored);
}

void TextServer::accept() {
  m_Acceptor.async_accept([this](const boost::system::error_code &Code,
                                 tcp::socket Socket) {
    if (Code == asio::error::operation_aborted)
      return;
    if (!Code)
      std::make_shared<proxy::CallerConnection>(std::move(Socket),
                                                proxy::CallerLimits{}, *this)
          ->start();
    accept();
  });
}

std::shared_ptr<proxy::RequestProcess>
TextServer::handle(proxy::Request What,
                   std::shared_ptr<proxy::CallerConnection> Caller) {
  Answer Text = m_Answers(What.Head);
  proxy::ResponseHead Head;
  Head.Status = Text.Status;
  Head.Headers.add("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
  Caller->respond(Head, Text.Text);
  return nullptr;
}

} // namespace figlift::gateway
