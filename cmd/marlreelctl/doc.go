// Command marlreelctl is the command line for the operators of a site. It lists the nodes in a registry, adds, drains and
// removes them, and confirms a list that lost most of its entries; it shows which list of nodes a proxy uses; and it
// proposes, compares and rolls back the settings on which a fleet of proxies agrees.
//
// It keeps no state. An entry of the registry is written only if nobody else has written it since it was read, and
// changes to a fleet are decided by the fleet's keepers. The command line is parsed by kong.
package main
