// Boost.JSON without its library.
#include <boost/json/src.hpp>
