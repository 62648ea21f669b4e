//===- ControlCall.h - A call of the gateway itself -------------*- C++ -*-===//
//
// One HTTP call on a pooled connection, with a timeout, whose whole response is
// collected.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibUpstream/ServerConnection.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace figlift::gateway {

/// A status of 0 means that no complete response was received.
using CallCallback =
    std::function<void(unsigned Status, const std::string &Body)>;

/// Sends \p Bytes, a whole request. At the timeout the connection is aborted,
/// so that bytes which are still in transit are not delivered later.
void startControlCall(boost::asio::io_context &Loop,
                      std::shared_ptr<upstream::ServerConnection> Connection,
                      std::string Bytes, std::chrono::milliseconds Timeout,
                      CallCallback Done);

} // namespace figlift::gateway
