//===- DelayingProxy.h - A path whose answers take time ---------*- C++ -*-===//
//
// Forwards connections to one port. What comes back from there can be delayed;
// nothing is lost, and the order stays.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Network.h"

#include <condition_variable>
#include <deque>

namespace review {

class DelayingProxy {
public:
  /// \p OnRequest: told of the bytes of each request.
  DelayingProxy(uint16_t Destination,
                std::function<void(const std::string &)> OnRequest)
      : m_Destination(Destination), m_OnRequest(std::move(OnRequest)),
        m_Listener([this](int Handle) { serve(Handle); }) {}

  uint16_t port() const { return m_Listener.port(); }
  void setDelay(milliseconds Delay) { m_Delay = Delay.count(); }
  void stop() { m_Listener.stop(); }

private:
  struct Piece {
    Time Due;
    std::string Bytes;
  };
  /// Pieces on their way back. An empty one is the end.
  struct Way {
    std::mutex Mutex;
    std::condition_variable Changed;
    std::deque<Piece> Pieces;
  };

  void serve(int Client) {
    const int Server = connectTo(m_Destination);
    if (Server < 0)
      return;
    Way Back;
    std::thread Receiver([&] { receive(Server, Back); });
    std::thread Sender([&] { sendDelayed(Client, Back); });
    char Buffer[16384];
    for (ssize_t Count = 0;
         (Count = recv(Client, Buffer, sizeof(Buffer), 0)) > 0;) {
      const std::string Bytes(Buffer, static_cast<size_t>(Count));
      m_OnRequest(Bytes);
      if (!sendAll(Server, Bytes))
        break;
    }
    shutdown(Server, SHUT_RDWR);
    Receiver.join();
    Sender.join();
    close(Server);
  }
  void receive(int Server, Way &Back) {
    char Buffer[16384];
    ssize_t Count = 0;
    do {
      Count = recv(Server, Buffer, sizeof(Buffer), 0);
      const std::string Bytes(Buffer,
                              static_cast<size_t>(std::max<ssize_t>(Count, 0)));
      const std::lock_guard Lock(Back.Mutex);
      Back.Pieces.push_back({Clock::now() + milliseconds(m_Delay), Bytes});
      Back.Changed.notify_all();
    } while (Count > 0);
  }
  void sendDelayed(int Client, Way &Back) {
    while (true) {
      std::unique_lock Lock(Back.Mutex);
      Back.Changed.wait(Lock, [&] { return !Back.Pieces.empty(); });
      const Piece Next = Back.Pieces.front();
      Back.Pieces.pop_front();
      Lock.unlock();
      std::this_thread::sleep_until(Next.Due);
      if (Next.Bytes.empty() || !sendAll(Client, Next.Bytes))
        return void(shutdown(Client, SHUT_RDWR));
    }
  }

  uint16_t m_Destination;
  std::function<void(const std::string &)> m_OnRequest;
  std::atomic<int64_t> m_Delay = 0;
  Listener m_Listener;
};

} // namespace review
