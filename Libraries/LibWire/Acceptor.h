//===- Acceptor.h - The listening socket of a server ------------*- C++ -*-===//
//
// Accepts within the bound on connections and deals sockets out to the loops.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/ServerConnection.h"

#include <vector>

namespace figlift::wire {

class Acceptor final : public Pollable,
                       public std::enable_shared_from_this<Acceptor> {
public:
  /// Takes over the listening \p Socket; \p Loops[0] runs it.
  Acceptor(int Socket, std::vector<std::weak_ptr<Loop>> Loops,
           std::shared_ptr<ServerState> Shared);
  ~Acceptor() override;
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  void onReady(uint32_t Events) override;
  void onLoopStop() override;

private:
  void admit(int Accepted);
  void pause();

  int m_Socket;
  const std::vector<std::weak_ptr<Loop>> m_Loops;
  const std::shared_ptr<ServerState> m_Shared;
  size_t m_Next = 0;
};

} // namespace figlift::wire
