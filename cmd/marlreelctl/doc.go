// Command marlreelctl is for the operators of a site. It lists the nodes of a registry, puts, drains and removes them,
// and confirms a list that lost most of its entries; it shows by which list a proxy goes; and it proposes, compares and
// takes back the settings on which a fleet of proxies agrees.
//
// It keeps no state: what it changes is in the registry, written only if nobody else wrote the entry meanwhile, or
// is decided by the fleet's keepers. The command line is by kong.
package main
