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

/// A status of 0 means that no complete response was received. If the callback
/// throws, it is called again with status 0.
using CallCallback =
    std::function<void(unsigned Status, const std::string &Body)>;

/// Sends a whole request whose response goes to the sink, and returns the
/// connection; null if the request could not be sent.
using ExchangeStarter =
    std::function<std::shared_ptr<upstream::ServerConnection>(
        std::shared_ptr<upstream::ExchangeSink>)>;

/// Returns false if \p Start could not send; \p Done is not called then. At the
/// timeout the connection is aborted, so that bytes which are still in transit
/// are not delivered later.
bool startControlCall(boost::asio::io_context &Loop,
                      const ExchangeStarter &Start,
                      std::chrono::milliseconds Timeout, CallCallback Done);

} // namespace figlift::gateway
