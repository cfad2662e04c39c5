/// Includes the h2o headers with the settings that C++ needs, and suppresses their warnings.
#pragma once

#define H2O_USE_LIBUV 0  // NOLINT(readability-identifier-naming): h2o's name

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#pragma GCC diagnostic pop
