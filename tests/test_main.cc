#define BOOST_TEST_MODULE endivecart
#include <boost/test/included/unit_test.hpp>
