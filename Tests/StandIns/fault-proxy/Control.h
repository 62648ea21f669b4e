//===- Control.h - Control port of the fault proxy --------------*- C++ -*-===//
//
// A small HTTP/1.1 server on the proxy's own event loop; each connection
// carries one request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Proxy.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace figlift::standin {

class Control {
public:
  Control(Poller &Events, Proxy &Controlled, const std::string &Listen);
  /// Where the control port listens.
  std::string address() const;

private:
  struct Request {
    std::string Method;
    std::string Path;
    std::string Body;
  };

  void accept();
  void receive(int Socket, std::string &Input);
  static std::optional<Request> parse(const std::string &Input);
  std::string answer(const Request &Received);
  nlohmann::json serve(const Request &Received, int &Status);
  nlohmann::json changeLink(const std::string &Name,
                            const nlohmann::json &Body);

  Poller &m_Poller;
  Proxy &m_Proxy;
  std::string m_Address;
  uint16_t m_Port = 0;
  int m_Listener = -1;
};

} // namespace figlift::standin
