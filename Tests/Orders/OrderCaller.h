//===- OrderCaller.h - Orders from outside ----------------------*- C++ -*-===//
//
// Sends orders straight to an agent's peer port, as a planner does, with
// whatever a test puts into them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Messages.pb.h"
#include "LibWire/Wire.h"

#include <memory>
#include <optional>
#include <string>

namespace figlift::test {

class OrderCaller {
public:
  explicit OrderCaller(const std::string &PeerAddress);
  ~OrderCaller();

  /// The agent's answer; empty when none came.
  std::optional<wire::OrderReply> send(const wire::OrderRequest &Order);

private:
  std::unique_ptr<wire::Client> m_Client;
  std::shared_ptr<wire::Channel> m_Channel;
};

} // namespace figlift::test
