//===- SpareDescriptor.h - A descriptor for the case of none ----*- C++ -*-===//
//
// Keeps a descriptor of which nothing depends. Closed, it makes room for one
// connection at a time, so that a process without free descriptors can tell
// callers so instead of leaving them in the listen queue.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace figlift::gateway {

class SpareDescriptor {
public:
  explicit SpareDescriptor(boost::asio::io_context &Loop) : m_Socket(Loop) {
    take();
  }
  /// Returns whether the descriptor is held.
  bool take() {
    boost::system::error_code Ignored; // Tried again before the next use.
    if (!m_Socket.is_open())
      m_Socket.open(boost::asio::ip::udp::v4(), Ignored);
    return m_Socket.is_open();
  }
  void release() {
    boost::system::error_code Ignored; // The descriptor is free in any case.
    m_Socket.close(Ignored);
  }

private:
  /// Not bound. A socket, because some systems count files apart from sockets.
  boost::asio::ip::udp::socket m_Socket;
};

} // namespace figlift::gateway
