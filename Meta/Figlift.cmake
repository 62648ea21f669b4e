# Build rules that every folder of the workspace shares.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release CACHE STRING "" FORCE)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -g1")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# The platform's machines build only the gateway, from a clean image: what only
# the other programs and the tests need is not looked for there.
option(FIGLIFT_ONLY_GATEWAY "Build only figlift-gateway" OFF)

find_package(Threads REQUIRED)
find_package(spdlog REQUIRED)
if(NOT FIGLIFT_ONLY_GATEWAY)
  find_package(PkgConfig REQUIRED)
  find_package(cpprestsdk REQUIRED)
  find_package(OpenSSL REQUIRED)
  find_package(Protobuf REQUIRED)
  pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
  pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-memb)
  pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
endif()

add_library(FigliftOptions INTERFACE)
target_include_directories(FigliftOptions INTERFACE
  ${PROJECT_SOURCE_DIR} ${PROJECT_SOURCE_DIR}/Libraries
  ${PROJECT_SOURCE_DIR}/Tests)
# cpprestsdk's macro U breaks Boost.Outcome and fmt, so it is turned off.
target_compile_definitions(FigliftOptions INTERFACE
  _TURN_OFF_PLATFORM_STRING _GNU_SOURCE)
# GCC 12 reports moved std::variant values as maybe uninitialised at -O2 even
# where every alternative has initialisers; clang-tidy still checks members.
target_compile_options(FigliftOptions INTERFACE
  -Wall -Wextra -Wno-maybe-uninitialized)
target_link_libraries(FigliftOptions INTERFACE Threads::Threads)

# figlift_library(LibX [targets it is built on...]): all sources of the folder.
function(figlift_library Name)
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp *.cc)
  if(Sources)
    add_library(${Name} STATIC ${Sources})
    target_link_libraries(${Name} PUBLIC FigliftOptions ${ARGN})
  else()
    add_library(${Name} INTERFACE)
    target_link_libraries(${Name} INTERFACE FigliftOptions ${ARGN})
  endif()
endfunction()

# figlift_program(name [targets...]): an installed binary of this folder.
function(figlift_program Name)
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${Name} ${Sources})
  target_link_libraries(${Name} PRIVATE FigliftOptions ${ARGN})
  install(TARGETS ${Name} RUNTIME DESTINATION bin)
endfunction()

# Sanitizers make everything slower by about this factor.
set(FIGLIFT_TIMEOUT_FACTOR 1 CACHE STRING "Factor on the timeouts of tests")

# figlift_test_timeout(test seconds)
function(figlift_test_timeout Name Seconds)
  math(EXPR Timeout "${Seconds} * ${FIGLIFT_TIMEOUT_FACTOR}")
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${Timeout})
endfunction()

# figlift_test(Folder [targets...]): one ctest entry from all Test*.cpp of the
# folder and the shared main program, run with FIGLIFT_TEST_ARGUMENTS.
function(figlift_test Name)
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${Name} ${Sources} ${PROJECT_SOURCE_DIR}/Tests/TestMain.cpp)
  target_link_libraries(${Name} PRIVATE FigliftOptions ${ARGN} PkgConfig::CPPUTEST)
  # The names and results of the single tests stand in the log, where the fault
  # matrix finds them.
  add_test(NAME ${Name} COMMAND ${Name} -v ${FIGLIFT_TEST_ARGUMENTS})
  figlift_test_timeout(${Name} 120)
endfunction()

# figlift_integration_test(Folder [targets...]): a suite that starts the
# project's programs as processes of their own.
function(figlift_integration_test Name)
  figlift_test(${Name} TestSupport ${ARGN})
  figlift_test_timeout(${Name} 300)
  # cpprestsdk's pool allocates on its own, which CppUTest's leak table does
  # not stand; see that file.
  set(LeakDetectorOff ${PROJECT_SOURCE_DIR}/Tests/Integration/LeakDetectorOff.cpp)
  get_target_property(Sources ${Name} SOURCES)
  if(NOT LeakDetectorOff IN_LIST Sources)
    target_sources(${Name} PRIVATE ${LeakDetectorOff})
  endif()
  add_dependencies(${Name} platform-standin engine-standin service-standin
    fault-proxy figlift-agent figlift-entry figlift-ctl figlift-timeline)
endfunction()

# figlift_gateway_test(Name Group tests...): a suite of one gateway with the
# stand-ins of Tests/FigliftGateway. Each of the tests of the group has a ctest
# entry of its own, Test<Group>.<test>, so that its result is reported
# separately.
function(figlift_gateway_test Name Group)
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  set(StandIns ${PROJECT_SOURCE_DIR}/Tests/FigliftGateway)
  add_executable(${Name} ${Sources} ${PROJECT_SOURCE_DIR}/Tests/TestMain.cpp
    ${StandIns}/RawServer.cpp ${StandIns}/StandInPlatform.cpp
    ${StandIns}/StandInStore.cpp
    ${PROJECT_SOURCE_DIR}/Tests/Integration/LeakDetectorOff.cpp)
  target_link_libraries(${Name} PRIVATE FigliftOptions LibFigliftGateway
    PkgConfig::CPPUTEST)
  foreach(Test IN LISTS ARGN)
    add_test(NAME Test${Group}.${Test} COMMAND ${Name} -v -sg ${Group} -sn ${Test})
    figlift_test_timeout(Test${Group}.${Test} 60)
  endforeach()
endfunction()
