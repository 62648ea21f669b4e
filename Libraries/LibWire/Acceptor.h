//===- Acceptor.h - The listening socket of a server ------------*- C++ -*-===//
//
// Accepts connections up to the limit and distributes them over the I/O loops.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/ServerConnection.h"

#include <vector>

namespace figlift::wire {

class Acceptor final : public Pollable,
                       public std::enable_shared_from_this<Acceptor> {
public:
  /// Takes ownership of the listening \p Socket, which \p Loops[0] polls.
  Acceptor(int Socket, std::vector<std::weak_ptr<Loop>> Loops,
           std::shared_ptr<ServerState> State);
  ~Acceptor() override;
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  void onReady(uint32_t Events) override;
  void onLoopStop() override;

private:
  void dispatchConnection(int AcceptedSocket);
  void pauseAccepting();

  int m_Socket;
  const std::vector<std::weak_ptr<Loop>> m_Loops;
  const std::shared_ptr<ServerState> m_State;
  size_t m_NextLoop = 0;
};

} // namespace figlift::wire
