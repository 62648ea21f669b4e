//===- StartLags.h - Start lags by service and route ------------*- C++ -*-===//
//
// Routes of one service differ in their latency targets, and a start lag may
// reach 0.6 of the target of its requests. With a single lag for the service,
// late answers of a route with a target of 400 ms raise it to 240 ms, and every
// request of a route with a target of 100 ms is rejected. Requests of the same
// priority may have different targets too, as the priority of a tenant
// overrides that of the route, so lags are kept by route.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/StartLag.h"

#include <map>
#include <string>
#include <utility>

namespace figlift::dispatch {

class StartLags {
public:
  /// The lag of the requests of \p Route to \p Service.
  StartLag &of(const std::string &Service, const std::string &Route) {
    return m_Lags[{Service, Route}];
  }
  /// The largest lag of the routes of \p Service; 0 without measurements.
  StartLag::Milliseconds largest(const std::string &Service,
                                 BootTime Now) const;

private:
  /// By service and route; only those that had requests.
  std::map<std::pair<std::string, std::string>, StartLag> m_Lags;
};

} // namespace figlift::dispatch
